package org.orioleshed.request;

import java.util.ArrayList;
import java.util.List;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;

/** A request in progress on its accepting host, with all callers that sent its key. */
abstract sealed class KeyedRequest permits Execution, ServiceCall {
    /**
     * The detail for a caller whose deadline passed while other callers of the key still wait; the
     * request may still run, so "not run" would be wrong.
     */
    static final String SHARED_KEY = "the same key still waits for another caller";

    static final String HOST_STOPPED = "the host stopped before the run had ended";

    final Request request;
    final List<Caller> callers = new ArrayList<>();

    /** Whether the request has its final outcome. */
    boolean closed;

    /** When the earliest queued timer of this request is due. */
    long timerNanos = Long.MAX_VALUE;

    KeyedRequest(Request request) {
        this.request = request;
    }

    /** Returns when the state's next timer is due. */
    abstract long stateTimerNanos();

    /**
     * Returns whether it is certain that no run was started, so that "not run" is a correct
     * outcome.
     */
    abstract boolean provedNotRun();

    /** Returns the latest deadline of its callers. */
    long deadlineNanos() {
        if (callers.isEmpty()) {
            return request.deadlineNanos();
        }
        long latest = Long.MIN_VALUE;
        for (Caller caller : callers) {
            latest = Math.max(latest, caller.request.deadlineNanos());
        }
        return latest;
    }

    /** Returns the earliest deadline of its callers. */
    long nextDeadlineNanos() {
        long earliest = Long.MAX_VALUE;
        for (Caller caller : callers) {
            earliest = Math.min(earliest, caller.request.deadlineNanos());
        }
        return earliest;
    }

    /** Returns the callers whose deadline has passed. */
    List<Caller> expiredCallers(long nowNanos) {
        if (nowNanos < nextDeadlineNanos()) {
            return List.of();
        }
        return callers.stream()
                .filter(caller -> nowNanos >= caller.request.deadlineNanos())
                .toList();
    }

    void removeCaller(RequestId caller) {
        callers.removeIf(each -> each.request.id().equals(caller));
    }
}
