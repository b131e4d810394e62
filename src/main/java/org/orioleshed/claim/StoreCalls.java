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

/** Calls on the store that wait for their answers, and whether the store answers at all. */
final class StoreCalls {
    /** Calls in a row without an answer after which the store counts as away. */
    private static final int AWAY_FAILURES = 3;

    private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

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

    /** Hears the answer to one call. */
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

    /** Hands an answer to its call; late and repeated answers are dropped. */
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

    /** Gives up on calls whose answer never came. */
    void tick(long nowNanos) {
        List<Long> late = new ArrayList<>();
        for (Map.Entry<Long, Call> entry : calls.entrySet()) {
            if (nowNanos < entry.getValue().untilNanos) {
                break;
            }
            late.add(entry.getKey());
        }
        for (long ticket : late) {
            onAnswer(nowNanos, ticket, new StoreAnswer.Unknown("no answer in time"));
        }
    }

    /** Returns whether the store has stopped answering. */
    boolean isUnavailable() {
        return failures >= AWAY_FAILURES;
    }

    /** Returns whether it is time to ask an absent store again. */
    boolean mayProbe(long nowNanos) {
        if (!isUnavailable() || nowNanos < nextProbeNanos || !calls.isEmpty()) {
            return false;
        }
        nextProbeNanos = nowNanos + PROBE_NANOS;
        return true;
    }

    private long register(long nowNanos, Handler handler) {
        long until = nowNanos + TimeUnit.MILLISECONDS.toNanos(2 * timeoutMillis);
        long ticket = nextTicket++;
        calls.put(ticket, new Call(handler, until));
        return ticket;
    }

    private record Call(Handler handler, long untilNanos) {}
}
