package org.orioleshed.soak;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Checks that requests that a host has read end with a whole answer. */
final class StopChecks {
    /**
     * After this time a request counts as read; five times the stated slack, for a busy machine.
     */
    private static final long READ_NANOS = TimeUnit.MILLISECONDS.toNanos(5 * 200);

    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
    private static final long AFTER_GRACE_MILLIS = 1_000;
    private static final int GRACE_PARTS = 6;

    private final Facts facts;
    private final Findings found;

    StopChecks(Facts facts, Findings found) {
        this.facts = facts;
        this.found = found;
    }

    void check() {
        for (Call call : facts.calls().values()) {
            if (call.end() == Call.End.BROKEN && wasRead(call) && isOwed(call)) {
                checkBroken(call);
            }
        }
    }

    private boolean wasRead(Call call) {
        return !facts.runs(call.id()).isEmpty() || call.endNanos() - call.sentNanos() > READ_NANOS;
    }

    /** Returns whether neither a fault, nor the deadline, nor a server can have ended it. */
    private boolean isOwed(Call call) {
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(call.endNanos() - call.sentNanos());
        return facts.isCalm(call.sentNanos(), call.endNanos())
                && waitedMillis < call.ask().deadlineMillis()
                && facts.runs(call.id()).stream().noneMatch(run -> run.end() == Run.End.DEADLINE);
    }

    private void checkBroken(Call call) {
        Optional<History.Stop> stop = stop(call);
        if (stop.isEmpty()) {
            found.add("LOST", call.id(), "without any stop of its host");
            return;
        }
        long sinceNanos = call.sentNanos() - stop.get().signalledNanos();
        boolean late = sinceNanos > LATE_NANOS;
        if (late || !wasAtWork(call, stop.get())) {
            String text =
                    "sent %d ms after TERM to host %d, cut after %d ms more; %s"
                            .formatted(
                                    TimeUnit.NANOSECONDS.toMillis(sinceNanos),
                                    call.host(),
                                    TimeUnit.NANOSECONDS.toMillis(
                                            call.endNanos() - call.sentNanos()),
                                    late ? "late" : "no server at work on it");
            found.add("LOST", call.id(), text);
        }
    }

    private Optional<History.Stop> stop(Call call) {
        return facts.stops().stream()
                .filter(it -> it.host() == call.host())
                .filter(it -> call.endNanos() >= it.signalNanos())
                .filter(it -> call.endNanos() <= it.signalNanos() + graceNanos(it))
                .findFirst();
    }

    private static long graceNanos(History.Stop stop) {
        return TimeUnit.MILLISECONDS.toNanos(stop.graceMillis() + AFTER_GRACE_MILLIS);
    }

    /** Returns whether a server was at work on it in the last part of the grace period. */
    private boolean wasAtWork(Call call, History.Stop stop) {
        long lastMillis = stop.graceMillis() * (GRACE_PARTS - 1) / GRACE_PARTS;
        long lastNanos = stop.signalNanos() + TimeUnit.MILLISECONDS.toNanos(lastMillis);
        return facts.runs(call.id()).stream()
                .anyMatch(run -> run.hasRun() && run.endNanos() >= lastNanos);
    }
}
