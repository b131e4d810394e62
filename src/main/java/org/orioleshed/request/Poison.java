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
 * Records content that was running when servers crashed. After two crashes the content is
 * quarantined: it is not run for a configured time, under any key. After one crash it is suspect,
 * which also happens to content that merely shared a server with the cause; a later success clears
 * it. During a rollout, crashes of the new version alone do not quarantine content, since the
 * version may be the cause.
 *
 * <p>The number of entries is bounded; the least recently used entry is dropped first.
 */
final class Poison {
    /** The number of crashes after which content is quarantined. */
    static final int QUARANTINE_CRASHES = 2;

    /** Crashes of one server within this time are counted as one. */
    private static final long SAME_CRASH_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final long quarantineNanos;
    private final int maxEntries;
    private final LinkedHashMap<Fingerprint, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);

    Poison(long quarantineMillis, int maxEntries) {
        this.quarantineNanos = TimeUnit.MILLISECONDS.toNanos(quarantineMillis);
        this.maxEntries = maxEntries;
    }

    /** A crash of a server while a run of the content was on it. */
    record Crash(ServerId server, RunId run, Optional<VersionId> version, long atNanos) {
        /** Returns whether both records describe the same crash. */
        boolean isSame(Crash other) {
            boolean sameServerAndTime =
                    server.equals(other.server)
                            && Math.abs(atNanos - other.atNanos) < SAME_CRASH_WINDOW_NANOS;
            return sameServerAndTime || run.equals(other.run);
        }
    }

    /** Records a crash; returns whether it was not recorded before. */
    boolean crashed(long nowNanos, Fingerprint fingerprint, Crash crash) {
        expire(nowNanos, fingerprint);
        Entry entry = entries.computeIfAbsent(fingerprint, f -> new Entry());
        if (entry.crashes.stream().anyMatch(crash::isSame)) {
            return false;
        }
        entry.crashes.add(crash);
        if (entry.crashes.size() > 2 * QUARANTINE_CRASHES) {
            entry.crashes.removeFirst();
        }
        entry.untilNanos = nowNanos + quarantineNanos;
        trim();
        return true;
    }

    /** Returns whether content is quarantined and must not be run. */
    boolean isQuarantined(long nowNanos, FleetSnapshot fleet, Fingerprint fingerprint) {
        expire(nowNanos, fingerprint);
        Entry entry = entries.get(fingerprint);
        return entry != null && isQuarantined(fleet, entry);
    }

    private static boolean isQuarantined(FleetSnapshot fleet, Entry entry) {
        if (entry.crashes.size() < QUARANTINE_CRASHES) {
            return false;
        }
        Set<VersionId> newVersions = new HashSet<>();
        for (VersionSplit split : fleet.splits().values()) {
            newVersions.add(split.to());
        }
        return entry.crashes.stream()
                .anyMatch(crash -> crash.version.filter(newVersions::contains).isEmpty());
    }

    /** Returns whether content was on a server that crashed and has not been cleared since. */
    boolean isSuspect(long nowNanos, Fingerprint fingerprint) {
        expire(nowNanos, fingerprint);
        return entries.containsKey(fingerprint);
    }

    /** Clears suspect content after a successful run; returns whether there was any. */
    boolean succeeded(FleetSnapshot fleet, Fingerprint fingerprint) {
        Entry entry = entries.get(fingerprint);
        if (entry == null || isQuarantined(fleet, entry)) {
            return false;
        }
        entries.remove(fingerprint);
        return true;
    }

    /** Clears content at the request of an operator or a peer; returns whether there was any. */
    boolean clear(Fingerprint fingerprint) {
        return entries.remove(fingerprint) != null;
    }

    /** Returns the recorded crashes of the {@code count} most recently used contents. */
    Map<Fingerprint, List<Crash>> latest(int count) {
        Map<Fingerprint, List<Crash>> latest = new LinkedHashMap<>();
        entries.reversed().entrySet().stream()
                .limit(count)
                .forEach(e -> latest.put(e.getKey(), List.copyOf(e.getValue().crashes)));
        return latest;
    }

    /** Returns all suspect and quarantined content. */
    List<QuarantinedContent> list(long nowNanos, FleetSnapshot fleet) {
        List<QuarantinedContent> all = new ArrayList<>();
        for (Map.Entry<Fingerprint, Entry> entry : entries.entrySet()) {
            long remainingNanos = entry.getValue().untilNanos - nowNanos;
            if (remainingNanos > 0) {
                all.add(
                        new QuarantinedContent(
                                entry.getKey(),
                                entry.getValue().crashes.size(),
                                isQuarantined(fleet, entry.getValue()),
                                TimeUnit.NANOSECONDS.toMillis(remainingNanos)));
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
