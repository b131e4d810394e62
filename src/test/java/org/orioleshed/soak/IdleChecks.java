package org.orioleshed.soak;

import java.util.concurrent.TimeUnit;
import org.orioleshed.soak.History.Reuse;

/**
 * Checks that no request on an idle connection ends with it, neither answered nor refused, where
 * the connection idled for less than the newest configuration allowed when it went idle.
 */
final class IdleChecks {
    private final HistoryIndex index;
    private final Findings findings;

    IdleChecks(HistoryIndex index, Findings findings) {
        this.index = index;
        this.findings = findings;
    }

    void check() {
        for (Reuse reuse : index.history().all(Reuse.class)) {
            if (isResponseDue(index, reuse)) {
                check(reuse, index.calls().get(reuse.callId()));
            }
        }
    }

    private void check(Reuse reuse, Call call) {
        boolean unanswered = call.end() == Call.End.BROKEN && call.status() == 0;
        if (unanswered && index.runs(call.id()).isEmpty()) {
            String text =
                    "the connection idled for %d ms of %d ms and broke %d ms after the first byte"
                            .formatted(
                                    idleMillis(reuse),
                                    reuse.idleTimeoutMillis(),
                                    TimeUnit.NANOSECONDS.toMillis(
                                            call.endNanos() - reuse.sentNanos()));
            findings.add("LOST", call.id(), text);
        }
    }

    /** Returns whether the host had to keep the connection open for a reuse of it. */
    private static boolean isResponseDue(HistoryIndex index, Reuse reuse) {
        Call call = index.calls().get(reuse.callId());
        return call != null
                && idleMillis(reuse) <= Callers.MAX_IDLE_RATIO * reuse.idleTimeoutMillis()
                && index.isFaultFree(reuse.idleSinceNanos(), call.endNanos())
                && index.isUndisturbed(call.host(), reuse.idleSinceNanos(), call.endNanos());
    }

    private static long idleMillis(Reuse reuse) {
        return TimeUnit.NANOSECONDS.toMillis(reuse.sentNanos() - reuse.idleSinceNanos());
    }

    /** Returns a line that states how many requests the checks applied to. */
    static String describe(HistoryIndex index) {
        long due =
                index.history().all(Reuse.class).stream()
                        .filter(it -> isResponseDue(index, it))
                        .count();
        return "idle connections: reused=%d response_due=%d%n"
                .formatted(index.history().all(Reuse.class).size(), due);
    }
}
