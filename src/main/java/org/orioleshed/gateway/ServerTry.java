package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.RunEnd;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.model.Payload;

/**
 * One try of a request at one server. Reads the server's answer and tells its {@link Listener} what
 * came of it, once.
 */
final class ServerTry implements ServerCall {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** An answer of a plain call is held whole up to this size. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private enum Reading {
        WHOLE,
        EVENTS,
        NOT_RUN
    }

    private final RunKey run;
    private final PoolServer server;
    private final boolean wantsEvents;
    private final EventFramer framer;
    private final Listener listener;
    private final ServerPool.Sending sending = new ServerPool.Sending();
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private final long sentNanos;
    private final int eventsBefore;
    private long lastByteNanos;
    private long firstMillis;
    private Reading reading = Reading.WHOLE;
    private HttpResponse head;
    private AnswerFacts facts;
    private boolean over;

    /** Hears what comes of a try, on the data thread. */
    interface Listener {
        /** Whole events of a stream; {@code head} is the answer's. */
        void events(ServerTry which, HttpResponse head, byte[] events);

        /** The stream is complete. */
        void streamEnded(ServerTry which, HttpResponse head, byte[] rest);

        /** A whole answer. */
        void answered(ServerTry which, HttpResponse head, AnswerFacts facts, Payload body);

        /** The server provably did not run the request. */
        void notRun(ServerTry which, RunEnd.Outcome outcome, String detail);

        /** The request may have run, and there is no whole answer. */
        void broken(ServerTry which, RunEnd.Outcome outcome, String detail);
    }

    /**
     * Makes a try.
     *
     * @param wantsEvents whether a success is passed on event by event
     * @param framer cuts the events; outlives the try, as another one may go on
     */
    ServerTry(
            RunKey run,
            PoolServer server,
            boolean wantsEvents,
            EventFramer framer,
            Listener listener,
            long nowNanos) {
        this.run = run;
        this.server = server;
        this.wantsEvents = wantsEvents;
        this.framer = framer;
        this.listener = listener;
        this.sentNanos = nowNanos;
        this.lastByteNanos = nowNanos;
        this.eventsBefore = framer.events();
    }

    RunKey run() {
        return run;
    }

    PoolServer server() {
        return server;
    }

    ServerPool.Sending sending() {
        return sending;
    }

    boolean hasEvents() {
        return firstMillis > 0;
    }

    /** Returns the time to the first event, in milliseconds; 0 while none came. */
    long firstMillis() {
        return firstMillis;
    }

    long silentMillis(long nowNanos) {
        return (nowNanos - lastByteNanos) / NANOS_PER_MILLI;
    }

    /** Ends the try at once, also at the server; the listener hears nothing more. */
    void cancel() {
        over = true;
        sending.cancel();
    }

    /** Returns how the run ended, for those who learn from it. */
    RunEnd end(RunEnd.Outcome outcome) {
        long totalMillis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
        return new RunEnd(outcome, framer.events() - eventsBefore, firstMillis, totalMillis);
    }

    @Override
    public void unreachable(String detail) {
        if (!over) {
            over = true;
            listener.notRun(this, RunEnd.Outcome.UNREACHABLE, detail);
        }
    }

    @Override
    public void head(HttpResponse response, AnswerFacts answered) {
        head = response;
        facts = answered;
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (answered.notRun() || isMisdirected()) {
            reading = Reading.NOT_RUN;
        } else if (success && answered.signed() && wantsEvents) {
            reading = Reading.EVENTS;
        } else {
            reading = Reading.WHOLE;
        }
    }

    private boolean isMisdirected() {
        return head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }

    @Override
    public void content(ByteBuf bytes) {
        lastByteNanos = System.nanoTime();
        if (over || reading == Reading.NOT_RUN) {
            return;
        }
        if (reading == Reading.EVENTS) {
            pass(framer.feed(bytes));
            return;
        }
        if (whole.size() + bytes.readableBytes() > MAX_ANSWER_BYTES) {
            cancel();
            listener.broken(this, RunEnd.Outcome.BROKEN, "answer_too_long");
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        whole.writeBytes(copy);
    }

    private void pass(byte[] events) {
        if (events.length == 0) {
            return;
        }
        if (firstMillis == 0) {
            firstMillis = Math.max(1, (lastByteNanos - sentNanos) / NANOS_PER_MILLI);
        }
        listener.events(this, head, events);
    }

    @Override
    public void end() {
        if (over) {
            return;
        }
        over = true;
        switch (reading) {
            case NOT_RUN -> {
                RunEnd.Outcome outcome =
                        isMisdirected() ? RunEnd.Outcome.MISDIRECTED : RunEnd.Outcome.REJECTED;
                listener.notRun(this, outcome, "status=" + head.status().code());
            }
            case EVENTS -> listener.streamEnded(this, head, framer.rest());
            case WHOLE -> endWhole();
        }
    }

    private void endWhole() {
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && !facts.signed()) {
            listener.broken(this, RunEnd.Outcome.BROKEN, "unsigned");
            return;
        }
        listener.answered(this, head, facts, Payload.of(whole.toByteArray()));
    }

    @Override
    public void broken(String detail) {
        if (!over) {
            over = true;
            listener.broken(this, RunEnd.Outcome.BROKEN, detail);
        }
    }
}
