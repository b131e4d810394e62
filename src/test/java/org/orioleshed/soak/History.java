package org.orioleshed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** All that callers, servers, operators and faults did in a soak, for the checks after it. */
final class History {
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Queue<Impairment> impairments = new ConcurrentLinkedQueue<>();
    private final Queue<Stop> stops = new ConcurrentLinkedQueue<>();
    private final Queue<ConfigWrite> configs = new ConcurrentLinkedQueue<>();
    private final Queue<Drain> drains = new ConcurrentLinkedQueue<>();
    private final Queue<Probe> probes = new ConcurrentLinkedQueue<>();
    private final Queue<String> problems = new ConcurrentLinkedQueue<>();
    private final long beginNanos = System.nanoTime();

    /** An unplanned fault; {@code host} is -1 where it concerns all of them. */
    record Impairment(String what, int host, long fromNanos, long toNanos) {}

    /**
     * A planned stop of a host.
     *
     * @param signalNanos just before the signal was sent
     * @param signalledNanos just after it was sent
     */
    record Stop(int host, long signalNanos, long signalledNanos, long endNanos, long graceMillis) {}

    /** A configuration, with when its write was sent and acknowledged. */
    record ConfigWrite(int version, long sentNanos, long acknowledgedNanos) {}

    /** A server's word that it is leaving, with when it was acknowledged. */
    record Drain(String server, long acknowledgedNanos) {}

    /** A question for the route that only some configurations have. */
    record Probe(int host, int life, int route, Call call) {}

    void add(Call call) {
        calls.add(call);
    }

    void add(Run run) {
        runs.add(run);
    }

    void add(Impairment impairment) {
        impairments.add(impairment);
    }

    void add(Stop stop) {
        stops.add(stop);
    }

    void add(ConfigWrite config) {
        configs.add(config);
    }

    void add(Drain drain) {
        drains.add(drain);
    }

    void add(Probe probe) {
        probes.add(probe);
    }

    /** Notes what broke a promise at once. */
    void problem(String text) {
        problems.add(text);
    }

    List<Call> calls() {
        return new ArrayList<>(calls);
    }

    List<Run> runs() {
        return new ArrayList<>(runs);
    }

    List<Stop> stops() {
        return new ArrayList<>(stops);
    }

    List<ConfigWrite> configs() {
        return new ArrayList<>(configs);
    }

    List<Drain> drains() {
        return new ArrayList<>(drains);
    }

    List<Probe> probes() {
        return new ArrayList<>(probes);
    }

    List<String> problems() {
        return new ArrayList<>(problems);
    }

    /** Returns whether any unplanned fault was within a span of time. */
    boolean isCalm(long fromNanos, long toNanos) {
        return impairments.stream()
                .noneMatch(it -> it.fromNanos() <= toNanos && it.toNanos() >= fromNanos);
    }

    /** Returns whether no unplanned fault of a host, or of all, was within a span of time. */
    boolean isCalm(int host, long fromNanos, long toNanos) {
        return impairments.stream()
                .filter(it -> it.host() == host || it.host() < 0)
                .noneMatch(it -> it.fromNanos() <= toNanos && it.toNanos() >= fromNanos);
    }

    /** Returns a moment as milliseconds of this soak. */
    long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - beginNanos);
    }

    /** Tells faults and stops in order. */
    List<String> faults() {
        List<String> told = new ArrayList<>();
        for (Impairment it : impairments) {
            told.add(
                    "%7d to %d ms: %s host=%d"
                            .formatted(
                                    millis(it.fromNanos()),
                                    millis(it.toNanos()),
                                    it.what(),
                                    it.host()));
        }
        for (Stop it : stops) {
            told.add(
                    "%7d to %d ms: TERM host=%d"
                            .formatted(millis(it.signalNanos()), millis(it.endNanos()), it.host()));
        }
        for (ConfigWrite it : configs) {
            told.add(
                    "%7d ms: configuration %d"
                            .formatted(millis(it.acknowledgedNanos()), it.version()));
        }
        for (Drain it : drains) {
            told.add(
                    "%7d ms: drain server=%s"
                            .formatted(millis(it.acknowledgedNanos()), it.server()));
        }
        told.sort(null);
        return told;
    }
}
