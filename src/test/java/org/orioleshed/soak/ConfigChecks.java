package org.orioleshed.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Checks that each configuration comes into force in time and that no older one returns. */
final class ConfigChecks {
    private static final long APPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /** The time within which a host under faults may still answer with an older version. */
    private static final long REVERT_NANOS = TimeUnit.MILLISECONDS.toNanos(8 * 250);

    private final HistoryIndex index;
    private final Findings findings;

    /** The newest version that each host process has served, and when that was observed. */
    private final Map<String, Observed> observed = new HashMap<>();

    private record Observed(int version, long sinceNanos) {}

    ConfigChecks(HistoryIndex index, Findings findings) {
        this.index = index;
        this.findings = findings;
    }

    void check() {
        List<History.Probe> probes = new ArrayList<>(index.history().all(History.Probe.class));
        probes.sort(Comparator.comparingLong(it -> it.call().endNanos()));
        for (History.Probe probe : probes) {
            Call call = probe.call();
            boolean served = call.succeeded();
            boolean notFound = call.end() == Call.End.COMPLETE && call.status() == 404;
            if (served || notFound) {
                checkProbe(probe, served);
            }
        }
    }

    private void checkProbe(History.Probe probe, boolean served) {
        Call call = probe.call();
        String process = probe.host() + "." + probe.startCount();
        int maxVersion = newestVersion(it -> it.sentNanos() <= call.endNanos());
        int minVersion = minObserved(process, call);
        String reason = "an older version came back into force";
        int dueVersion =
                newestVersion(it -> it.acknowledgedNanos() + APPLY_NANOS < call.sentNanos());
        if (dueVersion > minVersion
                && index.isUndisturbed(probe.host(), call.sentNanos(), call.endNanos())) {
            minVersion = dueVersion;
            reason = "version %d is not in force".formatted(dueVersion);
        }
        if (!isAllowed(probe.route(), served, minVersion, maxVersion)) {
            findings.add(
                    "CONFIG",
                    call.id(),
                    "%s: route %d answered %d with versions %d to %d"
                            .formatted(
                                    reason, probe.route(), call.status(), minVersion, maxVersion));
        }
        if (served) {
            observed.merge(
                    process,
                    new Observed(probe.route(), call.endNanos()),
                    (old, newer) -> newer.version() > old.version() ? newer : old);
        }
    }

    /** A route exists in the version of its number and in the next one. */
    private static boolean isAllowed(int route, boolean served, int minVersion, int maxVersion) {
        for (int version = minVersion; version <= maxVersion; version++) {
            boolean hasRoute = route == version || route == version - 1;
            if (hasRoute == served) {
                return true;
            }
        }
        return false;
    }

    private int minObserved(String process, Call call) {
        Observed previous = observed.get(process);
        boolean isBinding =
                previous != null && call.sentNanos() > previous.sinceNanos() + REVERT_NANOS;
        return isBinding ? previous.version() : 0;
    }

    private int newestVersion(Predicate<History.ConfigWrite> filter) {
        return index.history().all(History.ConfigWrite.class).stream()
                .filter(filter)
                .mapToInt(History.ConfigWrite::version)
                .max()
                .orElse(0);
    }
}
