package org.orioleshed.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Checks that a configuration is in force in time, and none before it comes back. */
final class ConfigChecks {
    private static final long APPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /** The slack for hosts under faults. */
    private static final long REVERT_NANOS = TimeUnit.MILLISECONDS.toNanos(8 * 250);

    private final Facts facts;
    private final Findings found;

    /** Which version a life of a host has shown, and since when. */
    private final Map<String, Seen> seen = new HashMap<>();

    private record Seen(int version, long sinceNanos) {}

    ConfigChecks(Facts facts, Findings found) {
        this.facts = facts;
        this.found = found;
    }

    void check() {
        List<History.Probe> probes = new ArrayList<>(facts.history().all(History.Probe.class));
        probes.sort(Comparator.comparingLong(it -> it.call().endNanos()));
        for (History.Probe probe : probes) {
            Call call = probe.call();
            boolean served = call.succeeded();
            boolean unknown = call.end() == Call.End.WHOLE && call.status() == 404;
            if (served || unknown) {
                checkOne(probe, served);
            }
        }
    }

    private void checkOne(History.Probe probe, boolean served) {
        Call call = probe.call();
        String life = probe.host() + "." + probe.life();
        int newest = newest(it -> it.sentNanos() <= call.endNanos());
        int least = leastBySeen(life, call);
        String why = "a version of before came back";
        int due = newest(it -> it.acknowledgedNanos() + APPLY_NANOS < call.sentNanos());
        if (due > least && facts.isInTouch(probe.host(), call.sentNanos(), call.endNanos())) {
            least = due;
            why = "version %d is not in force".formatted(due);
        }
        if (!isAllowed(probe.route(), served, least, newest)) {
            found.add(
                    "CONFIG",
                    call.id(),
                    "%s: route %d answered %d with versions %d to %d"
                            .formatted(why, probe.route(), call.status(), least, newest));
        }
        if (served) {
            seen.merge(
                    life,
                    new Seen(probe.route(), call.endNanos()),
                    (old, newer) -> newer.version() > old.version() ? newer : old);
        }
    }

    /** A route is in its own version and in the next one. */
    private static boolean isAllowed(int route, boolean served, int least, int newest) {
        for (int version = least; version <= newest; version++) {
            boolean has = route == version || route == version - 1;
            if (has == served) {
                return true;
            }
        }
        return false;
    }

    private int leastBySeen(String life, Call call) {
        Seen before = seen.get(life);
        boolean counts = before != null && call.sentNanos() > before.sinceNanos() + REVERT_NANOS;
        return counts ? before.version() : 0;
    }

    private int newest(Predicate<History.ConfigWrite> which) {
        return facts.history().all(History.ConfigWrite.class).stream()
                .filter(which)
                .mapToInt(History.ConfigWrite::version)
                .max()
                .orElse(0);
    }
}
