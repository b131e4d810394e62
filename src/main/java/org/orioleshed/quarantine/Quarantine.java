package org.orioleshed.quarantine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What is quarantined. After a while one request is tried; if its server crashes, the quarantine
 * goes on for twice as long.
 */
final class Quarantine {
    private static final long FIRST_HOLD_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** The hold time doubles at most this often. */
    private static final int MAX_DOUBLINGS = 6;

    /** A tried request that neither crashed a server nor was answered is over after this time. */
    private static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** An entry that no request meets any more expires this long after its hold time. */
    private static final long EXPIRY_NANOS = TimeUnit.HOURS.toNanos(1);

    private static final int MAX_HELD = 1_024;

    private final boolean isPrimary;
    private final Map<Suspect, Entry> entries = new LinkedHashMap<>();

    private static final class Entry {
        private final int crashes;
        private final int times;
        private final long crashedNanos;
        private final long untilNanos;
        private final boolean decidedByPrimary;
        private long triedNanos;
        private boolean tried;

        Entry(
                int crashes,
                int times,
                long crashedNanos,
                long untilNanos,
                boolean decidedByPrimary) {
            this.decidedByPrimary = decidedByPrimary;
            this.crashes = crashes;
            this.times = times;
            this.crashedNanos = crashedNanos;
            this.untilNanos = untilNanos;
        }

        CrashReport.Held view(Suspect suspect, long nowNanos) {
            return new CrashReport.Held(
                    suspect,
                    crashes,
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - crashedNanos),
                    TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos),
                    times);
        }
    }

    /**
     * Creates an empty quarantine.
     *
     * @param isPrimary whether it decides for all hosts, also when one request is tried
     */
    Quarantine(boolean isPrimary) {
        this.isPrimary = isPrimary;
    }

    /**
     * Holds a suspect, for longer each time.
     *
     * @param crashes the number of further crashes that prove it guilty
     * @param crashedNanos when the last of them was
     */
    CrashReport.Held hold(Suspect suspect, int crashes, long crashedNanos, long nowNanos) {
        Entry before = entries.remove(suspect);
        int times = before == null ? 1 : before.times + 1;
        int total = before == null ? crashes : before.crashes + crashes;
        long holdNanos = FIRST_HOLD_NANOS << Math.min(times - 1, MAX_DOUBLINGS);
        Entry entry = new Entry(total, times, crashedNanos, nowNanos + holdNanos, isPrimary);
        add(suspect, entry);
        return entry.view(suspect, nowNanos);
    }

    private void add(Suspect suspect, Entry entry) {
        if (entries.size() >= MAX_HELD) {
            entries.remove(entries.keySet().iterator().next());
        }
        entries.put(suspect, entry);
    }

    /**
     * Takes over what another host holds.
     *
     * @return whether it was not known
     */
    boolean merge(CrashReport.Held held, long nowNanos) {
        Entry known = entries.get(held.suspect());
        if (known != null && known.decidedByPrimary && known.times >= held.times()) {
            return false;
        }
        entries.remove(held.suspect());
        long crashedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(held.ageMillis());
        long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(held.leftMillis());
        add(
                held.suspect(),
                new Entry(held.crashes(), held.times(), crashedNanos, untilNanos, true));
        return true;
    }

    boolean release(Suspect suspect) {
        return entries.remove(suspect) != null;
    }

    /** Releases a suspect that was answered, if that began after its last crash. */
    boolean answered(Suspect suspect, long beganNanos) {
        Entry entry = entries.get(suspect);
        return entry != null && beganNanos > entry.crashedNanos && release(suspect);
    }

    Set<Suspect> suspects() {
        return entries.keySet();
    }

    /** Returns what is held. */
    List<CrashReport.Held> list(long nowNanos) {
        List<CrashReport.Held> list = new ArrayList<>();
        entries.forEach((suspect, entry) -> list.add(entry.view(suspect, nowNanos)));
        return list;
    }

    /** Releases what this host quarantined by itself while no primary responded. */
    void dropUndecided() {
        entries.values().removeIf(entry -> !entry.decidedByPrimary);
    }

    /** Returns what a primary quarantined. */
    List<CrashReport.Held> listDecided(long nowNanos) {
        List<CrashReport.Held> list = new ArrayList<>();
        entries.forEach(
                (suspect, entry) -> {
                    if (entry.decidedByPrimary) {
                        list.add(entry.view(suspect, nowNanos));
                    }
                });
        return list;
    }

    /** Returns what keeps a content from running now; empty if it may run. */
    Optional<CrashReport.Held> holding(RequestContent content, long nowNanos) {
        if (entries.isEmpty()) {
            return Optional.empty();
        }
        for (Suspect suspect : content.suspects()) {
            Entry entry = entries.get(suspect);
            if (entry != null && isHeld(suspect, entry, nowNanos)) {
                return Optional.of(entry.view(suspect, nowNanos));
            }
        }
        return Optional.empty();
    }

    private boolean isHeld(Suspect suspect, Entry entry, long nowNanos) {
        if (nowNanos < entry.untilNanos) {
            return true;
        }
        if (nowNanos - entry.untilNanos > EXPIRY_NANOS) {
            entries.remove(suspect);
            return false;
        }
        return !isPrimary || (entry.tried && nowNanos - entry.triedNanos < TRIAL_NANOS);
    }

    /** Records that a request is placed; returns what it tries after its hold time. */
    List<Suspect> tried(RequestContent content, long nowNanos) {
        if (entries.isEmpty()) {
            return List.of();
        }
        List<Suspect> trials = new ArrayList<>();
        for (Suspect suspect : content.suspects()) {
            Entry entry = entries.get(suspect);
            if (entry != null && nowNanos >= entry.untilNanos) {
                entry.tried = true;
                entry.triedNanos = nowNanos;
                trials.add(suspect);
            }
        }
        return trials;
    }

    /** Returns whether a request is tried although this was quarantined. */
    boolean isTried(Suspect suspect) {
        Entry entry = entries.get(suspect);
        return entry != null && entry.tried;
    }
}
