package org.orioleshed.soak;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Checks that each request which a host has read gets a complete response. */
final class StopChecks {
    /**
     * The time after which a request counts as read: five times the stated slack of 200 ms, for a
     * busy machine.
     */
    private static final long READ_NANOS = TimeUnit.MILLISECONDS.toNanos(5 * 200);

    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
    private static final long AFTER_GRACE_MILLIS = 1_000;
    private static final int GRACE_PARTS = 6;

    private final HistoryIndex index;
    private final Findings findings;

    StopChecks(HistoryIndex index, Findings findings) {
        this.index = index;
        this.findings = findings;
    }

    void check() {
        for (Call call : index.calls().values()) {
            if (call.end() == Call.End.BROKEN && wasRead(call) && isResponseDue(call)) {
                checkBroken(call);
            }
        }
    }

    private boolean wasRead(Call call) {
        return !index.runs(call.id()).isEmpty() || call.endNanos() - call.sentNanos() > READ_NANOS;
    }

    /** Returns whether neither a fault, nor the deadline, nor a server can have ended the call. */
    private boolean isResponseDue(Call call) {
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(call.endNanos() - call.sentNanos());
        return index.isFaultFree(call.sentNanos(), call.endNanos())
                && waitedMillis < call.request().deadlineMillis()
                && index.runs(call.id()).stream().noneMatch(run -> run.end() == Run.End.DEADLINE);
    }

    private void checkBroken(Call call) {
        Optional<History.Stop> stop = stop(call);
        if (stop.isEmpty()) {
            findings.add("LOST", call.id(), "the connection broke without a stop of its host");
            return;
        }
        long sinceNanos = call.sentNanos() - stop.get().afterSignalNanos();
        boolean late = sinceNanos > LATE_NANOS;
        if (late || !wasExecuting(call, stop.get())) {
            String text =
                    "sent %d ms after TERM to host %d, connection broken after %d ms more; %s"
                            .formatted(
                                    TimeUnit.NANOSECONDS.toMillis(sinceNanos),
                                    call.host(),
                                    TimeUnit.NANOSECONDS.toMillis(
                                            call.endNanos() - call.sentNanos()),
                                    late ? "late" : "no server was executing it");
            findings.add("LOST", call.id(), text);
        }
    }

    private Optional<History.Stop> stop(Call call) {
        return index.stops().stream()
                .filter(it -> it.host() == call.host())
                .filter(it -> call.endNanos() >= it.beforeSignalNanos())
                .filter(it -> call.endNanos() <= it.beforeSignalNanos() + graceNanos(it))
                .findFirst();
    }

    private static long graceNanos(History.Stop stop) {
        return TimeUnit.MILLISECONDS.toNanos(stop.graceMillis() + AFTER_GRACE_MILLIS);
    }

    /** Returns whether a server still executed the call in the last sixth of the grace period. */
    private boolean wasExecuting(Call call, History.Stop stop) {
        long lastMillis = stop.graceMillis() * (GRACE_PARTS - 1) / GRACE_PARTS;
        long lastNanos = stop.beforeSignalNanos() + TimeUnit.MILLISECONDS.toNanos(lastMillis);
        return index.runs(call.id()).stream()
                .anyMatch(run -> run.hasRun() && run.endNanos() >= lastNanos);
    }
}
