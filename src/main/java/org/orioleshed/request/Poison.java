package org.orioleshed.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * Content that was running when servers crashed. After two crashes the content is held: nothing of
 * it is run for a stated time, whatever key it comes under. One crash makes it a suspect, as does
 * sharing a server with the guilty; a later success clears it. While a move is under way, crashes
 * of its new version alone do not hold content, since the version may be to blame.
 *
 * <p>Bounded: the entry that was touched longest ago is dropped first.
 */
final class Poison {
    /** The crashes that hold content. */
    static final int CRASHES = 2;

    /** Crashes of one server within this time count once. */
    private static final long SAME_CRASH_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final long heldNanos;
    private final int maxEntries;
    private final LinkedHashMap<Fingerprint, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    Poison(long heldMillis, int maxEntries) {
        this.heldNanos = TimeUnit.MILLISECONDS.toNanos(heldMillis);
        this.maxEntries = maxEntries;
    }

    /** One crash of a server, with a run of the content on board. */
    record Crash(ServerId server, RunId run, Optional<VersionId> version, long atNanos) {
        /** Returns whether both tell of one event. */
        boolean isSame(Crash other) {
            boolean atOnce =
                    server.equals(other.server)
                            && Math.abs(atNanos - other.atNanos) < SAME_CRASH_NANOS;
            return atOnce || run.equals(other.run);
        }
    }

    /** Counts a crash; returns whether it was news. */
    boolean crashed(long nowNanos, Fingerprint fingerprint, Crash crash) {
        expire(nowNanos, fingerprint);
        Entry entry = entries.computeIfAbsent(fingerprint, f -> new Entry());
        if (entry.crashes.stream().anyMatch(crash::isSame)) {
            return false;
        }
        entry.crashes.add(crash);
        if (entry.crashes.size() > 2 * CRASHES) {
            entry.crashes.removeFirst();
        }
        entry.untilNanos = nowNanos + heldNanos;
        trim();
        return true;
    }

    /** Returns whether content must not be run. */
    boolean isQuarantined(long nowNanos, FleetSnapshot fleet, Fingerprint fingerprint) {
        expire(nowNanos, fingerprint);
        Entry entry = entries.get(fingerprint);
        return entry != null && isQuarantined(fleet, entry);
    }

    private static boolean isQuarantined(FleetSnapshot fleet, Entry entry) {
        if (entry.crashes.size() < CRASHES) {
            return false;
        }
        Set<VersionId> moving = new HashSet<>();
        for (VersionSplit split : fleet.splits().values()) {
            moving.add(split.to());
        }
        return entry.crashes.stream()
                .anyMatch(crash -> crash.version.filter(moving::contains).isEmpty());
    }

    /** Returns whether content was on a server when it crashed, not yet cleared. */
    boolean isSuspect(long nowNanos, Fingerprint fingerprint) {
        expire(nowNanos, fingerprint);
        return entries.containsKey(fingerprint);
    }

    /** Clears a suspect that ran well; returns whether there was one. */
    boolean succeeded(FleetSnapshot fleet, Fingerprint fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry == null || isQuarantined(fleet, entry)) {
            return false;
        }
        entries.remove(fingerprint);
        return true;
    }

    /** Clears content at an operator's wish or a peer's word; returns whether there was any. */
    boolean clear(Fingerprint fingerprint) {
        return entries.remove(fingerprint) != null;
    }

    /** Returns the crashes counted for the contents touched last, at most {@code count}. */
    Map<Fingerprint, List<Crash>> latest(int count) {
        Map<Fingerprint, List<Crash>> latest = new LinkedHashMap<>();
        entries.reversed().entrySet().stream()
                .limit(count)
                .forEach(e -> latest.put(e.getKey(), List.copyOf(e.getValue().crashes)));
        return latest;
    }

    /** Returns all content under suspicion. */
    List<QuarantinedContent> list(long nowNanos, FleetSnapshot fleet) {
        List<QuarantinedContent> all = new ArrayList<>();
        for (Map.Entry<Fingerprint, Entry> entry : entries.entrySet()) {
            long remaining = entry.getValue().untilNanos - nowNanos;
            if (remaining > 0) {
                all.add(
                        new QuarantinedContent(
                                entry.getKey(),
                                entry.getValue().crashes.size(),
                                isQuarantined(fleet, entry.getValue()),
                                TimeUnit.NANOSECONDS.toMillis(remaining)));
            }
        }
        return all;
    }

    private void expire(long nowNanos, Fingerprint fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry != null && nowNanos >= entry.untilNanos) {
            entries.remove(fingerprint);
        }
    }

    private void trim() {
        while (entries.size() > maxEntries) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    private static final class Entry {
        final List<Crash> crashes = new ArrayList<>();
        long untilNanos;
    }
}
