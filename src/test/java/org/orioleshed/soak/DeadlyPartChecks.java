package org.orioleshed.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Checks that requests with a part that crashed five servers reach servers no more, and that sound
 * requests which share their key and first part are still served.
 */
final class DeadlyPartChecks {
    private static final int CRASHES = 5;
    private static final int MAX_LATE_REQUESTS = 3;
    private static final long STABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    /** With fewer calls in a period, their success rate is not compared. */
    private static final int MIN_CALLS = 20;

    private static final double MIN_RELATIVE_SUCCESS = 0.5;

    private final HistoryIndex index;
    private final Findings findings;

    DeadlyPartChecks(HistoryIndex index, Findings findings) {
        this.index = index;
        this.findings = findings;
    }

    void check() {
        List<Long> crashesNanos =
                index.history().all(History.PartCrash.class).stream()
                        .map(History.PartCrash::atNanos)
                        .sorted()
                        .toList();
        if (crashesNanos.size() < CRASHES) {
            return;
        }
        long knownNanos = crashesNanos.get(CRASHES - 1);
        checkQuarantine(knownNanos + STABLE_NANOS);
        checkSoundCalls(crashesNanos.getFirst(), knownNanos + 2 * STABLE_NANOS);
    }

    private void checkQuarantine(long fromNanos) {
        List<Run> late =
                index.runs().stream()
                        .filter(run -> run.arrivedNanos() > fromNanos)
                        .filter(this::isDeadlyFromUndisturbedHost)
                        .toList();
        if (late.size() > MAX_LATE_REQUESTS) {
            findings.add(
                    "BUDGET",
                    late.getFirst().id(),
                    "%d requests with the deadly part reached servers later than the bound"
                            .formatted(late.size()));
        }
    }

    private boolean isDeadlyFromUndisturbedHost(Run run) {
        Call call = index.calls().get(run.id());
        return call != null
                && call.request().hasDeadlyPart()
                && index.isUndisturbed(call.host(), call.sentNanos(), run.arrivedNanos());
    }

    private void checkSoundCalls(long firstCrashNanos, long fromNanos) {
        List<Call> sound =
                index.calls().values().stream()
                        .filter(call -> !call.request().parts().isEmpty())
                        .filter(call -> !call.request().hasDeadlyPart())
                        .filter(this::isFromUndisturbedHost)
                        .toList();
        List<Call> before =
                sound.stream().filter(call -> call.endNanos() < firstCrashNanos).toList();
        List<Call> after = sound.stream().filter(call -> call.sentNanos() > fromNanos).toList();
        if (before.size() < MIN_CALLS || after.size() < MIN_CALLS) {
            return;
        }
        double expected = MIN_RELATIVE_SUCCESS * successRate(before);
        if (successRate(after) < expected) {
            findings.add(
                    "LOST",
                    after.getFirst().id(),
                    "%.2f of sound requests succeeded beside the quarantine, %.2f expected"
                            .formatted(successRate(after), expected));
        }
    }

    private boolean isFromUndisturbedHost(Call call) {
        return index.isUndisturbed(call.host(), call.sentNanos(), call.endNanos());
    }

    private static double successRate(List<Call> calls) {
        return (double) calls.stream().filter(Call::succeeded).count() / calls.size();
    }
}
