package org.orioleshed.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.orioleshed.model.PartId;

/** Runs that broke at about the same time on one server, and what in them may have crashed it. */
final class Crash {
    private static final int MAX_RUNS = 256;

    private final ServerStart server;
    private final long firstNanos;
    private final Map<Long, Set<PartId>> partsByContent = new HashMap<>();
    private final Set<PartId> clearedParts = new HashSet<>();
    private int runs;
    private boolean counted;
    private boolean confirmed;
    private boolean explained;

    /**
     * Begins the record of a possible crash.
     *
     * @param firstNanos when the first run broke, on the monotonic clock
     */
    Crash(ServerStart server, long firstNanos) {
        this.server = server;
        this.firstNanos = firstNanos;
    }

    ServerStart server() {
        return server;
    }

    /** Returns when the first run broke, on the monotonic clock, in nanoseconds. */
    long firstNanos() {
        return firstNanos;
    }

    /** Returns how long ago the first run broke, in milliseconds. */
    long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - firstNanos);
    }

    /** Returns the number of runs whose connection the server broke. */
    int runs() {
        return runs;
    }

    /** Returns the suspected parts by the fingerprint of the content that held them. */
    Map<Long, Set<PartId>> partsByContent() {
        return partsByContent;
    }

    /** Returns the parts that were suspected, and were answered in later requests. */
    Set<PartId> clearedParts() {
        return clearedParts;
    }

    /** Returns whether the server has crashed, rather than only broken off some runs. */
    boolean isCounted() {
        return counted;
    }

    void count() {
        counted = true;
    }

    /** Returns whether the server was seen to be gone or restarted. */
    boolean isConfirmed() {
        return confirmed;
    }

    void confirm() {
        counted = true;
        confirmed = true;
    }

    /** Returns whether a part that is quarantined was in a run that broke here. */
    boolean isExplained() {
        return explained;
    }

    void explain() {
        explained = true;
    }

    /** Counts a run whose connection the server broke. */
    void addBreak() {
        runs++;
    }

    /** Adds what is to blame if a run crashed the server. */
    void suspect(RequestContent run) {
        long content = run.fingerprint();
        if (partsByContent.size() < MAX_RUNS || partsByContent.containsKey(content)) {
            partsByContent.computeIfAbsent(content, key -> new HashSet<>()).addAll(run.parts());
        }
    }

    /** Clears a part that was answered in a later request. */
    void clear(PartId part) {
        boolean removed = false;
        for (Set<PartId> parts : partsByContent.values()) {
            removed |= parts.remove(part);
        }
        if (removed) {
            clearedParts.add(part);
        }
    }

    /** Clears a content that was answered later. */
    void clear(long content) {
        partsByContent.remove(content);
    }

    /** Returns the contents that held a part when they broke. */
    Set<Long> contentsWith(PartId part) {
        Set<Long> contents = new HashSet<>();
        partsByContent.forEach(
                (content, parts) -> {
                    if (parts.contains(part)) {
                        contents.add(content);
                    }
                });
        return contents;
    }

    /** Returns all that may have caused the crash. */
    Set<Suspect> suspects() {
        Set<Suspect> suspects = new HashSet<>();
        partsByContent.forEach(
                (content, parts) -> {
                    suspects.add(new Suspect.Content(content));
                    parts.forEach(part -> suspects.add(new Suspect.Part(part)));
                });
        return suspects;
    }
}
