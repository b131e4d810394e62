package org.orioleshed.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.Payload;

/** The pending store calls of a host; detects when the store is unavailable. */
final class StoreCalls {
    /** The number of consecutive failed calls after which the store is considered unavailable. */
    private static final int UNAVAILABLE_FAILURES = 3;

    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final long timeoutMillis;
    private final Consumer<HostAction> out;
    private final Map<Long, Call> calls = new LinkedHashMap<>();
    private long nextTicket = 1;
    private int failures;
    private long nextProbeNanos;

    StoreCalls(long timeoutMillis, Consumer<HostAction> out) {
        this.timeoutMillis = timeoutMillis;
        this.out = out;
    }

    /** Receives the answer to a call. */
    interface Handler {
        void answered(long nowNanos, StoreAnswer answer);
    }

    void read(long nowNanos, String key, Handler handler) {
        long ticket = register(nowNanos, handler);
        out.accept(new HostAction.ReadStore(ticket, key));
    }

    void swap(long nowNanos, String key, long expectedRevision, Payload value, Handler handler) {
        long ticket = register(nowNanos, handler);
        out.accept(
                new HostAction.CompareAndSwap(ticket, key, expectedRevision, value, timeoutMillis));
    }

    /** Passes an answer to its call's handler; drops late and repeated answers. */
    void onAnswer(long nowNanos, long ticket, StoreAnswer answer) {
        Call call = calls.remove(ticket);
        if (call == null) {
            return;
        }
        boolean failed =
                answer instanceof StoreAnswer.Unknown || answer instanceof StoreAnswer.Unavailable;
        failures = failed ? failures + 1 : 0;
        call.handler.answered(nowNanos, answer);
    }

    /** Fails the calls that have timed out. */
    void tick(long nowNanos) {
        List<Long> expired = new ArrayList<>();
        for (Map.Entry<Long, Call> entry : calls.entrySet()) {
            if (nowNanos < entry.getValue().deadlineNanos) {
                break;
            }
            expired.add(entry.getKey());
        }
        for (long ticket : expired) {
            onAnswer(nowNanos, ticket, new StoreAnswer.Unknown("no answer in time"));
        }
    }

    /** Returns whether the store is considered unavailable. */
    boolean isUnavailable() {
        return failures >= UNAVAILABLE_FAILURES;
    }

    /** Returns whether an unavailable store should be probed now. */
    boolean shouldProbe(long nowNanos) {
        if (!isUnavailable() || nowNanos < nextProbeNanos || !calls.isEmpty()) {
            return false;
        }
        nextProbeNanos = nowNanos + PROBE_INTERVAL_NANOS;
        return true;
    }

    private long register(long nowNanos, Handler handler) {
        long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(2 * timeoutMillis);
        long ticket = nextTicket++;
        calls.put(ticket, new Call(handler, deadlineNanos));
        return ticket;
    }

    private record Call(Handler handler, long deadlineNanos) {}
}
