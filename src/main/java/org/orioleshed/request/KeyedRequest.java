package org.orioleshed.request;

import java.util.ArrayList;
import java.util.List;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;

/** A request under way on its accepting host, with all callers that sent its key. */
abstract sealed class KeyedRequest permits Execution, ServiceCall {
    /** Why a caller whose deadline passed can't be told "not run" when others wait on. */
    static final String SHARED_KEY = "the same key still waits for another caller";

    static final String HOST_STOPPED = "the host stopped before the run had ended";

    final Request request;
    final List<Caller> callers = new ArrayList<>();

    /** Whether the request is over. */
    boolean closed;

    /** When the timer queue wakes this request. */
    long wakeNanos = Long.MAX_VALUE;

    KeyedRequest(Request request) {
        this.request = request;
    }

    /** Returns when the state has something to do by itself. */
    abstract long stateWakeNanos();

    /** Returns whether no run was ever started, so that "not run" is true. */
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
    List<Caller> lateCallers(long nowNanos) {
        if (nowNanos < nextDeadlineNanos()) {
            return List.of();
        }
        return callers.stream()
                .filter(caller -> nowNanos >= caller.request.deadlineNanos())
                .toList();
    }

    void removeCaller(RequestId caller) {
        callers.removeIf(one -> one.request.id().equals(caller));
    }
}
