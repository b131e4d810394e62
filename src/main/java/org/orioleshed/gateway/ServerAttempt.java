package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.io.ByteArrayOutputStream;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.model.Payload;

/**
 * One attempt of a request at one server. Reads the server's answer and tells its {@link Listener}
 * what came of it, once.
 */
final class ServerAttempt implements ServerCall {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** An answer of a plain call is held whole up to this size. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    /** What a part of an answer counts beside its content: parts of a byte each must end, too. */
    private static final int PART_BYTES = 64;

    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** More of the body of a refusal is not read; its connection is closed instead. */
    private static final int MAX_REFUSAL_BYTES = 64 << 10;

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
    private long lastProgressNanos;
    private long firstMillis;
    private Reading reading = Reading.WHOLE;
    private HttpResponse head;
    private ResponseHeaders responseHeaders;
    private long answerBytes;
    private long skippedBytes;
    private boolean over;

    /** Receives the outcome of an attempt, on the data thread. */
    interface Listener {
        /** Whole events of a stream; {@code head} is the answer's. */
        void events(ServerAttempt which, HttpResponse head, byte[] events);

        /** What an answer says of its server. */
        void noticed(ServerAttempt which, ResponseHeaders responseHeaders);

        /** The stream is complete. */
        void streamEnded(ServerAttempt which, HttpResponse head, byte[] rest);

        /** A whole answer. */
        void answered(
                ServerAttempt which,
                HttpResponse head,
                ResponseHeaders responseHeaders,
                Payload body);

        /** The server provably did not run the request. */
        void notRun(ServerAttempt which, RunReport.Outcome outcome, String detail);

        /** The request may have run, and there is no whole answer. */
        void broken(ServerAttempt which, RunReport.Outcome outcome, String detail);
    }

    /**
     * Makes an attempt.
     *
     * @param wantsEvents whether a success is passed on event by event
     * @param framer cuts the events; outlives the attempt, as another one may go on
     */
    ServerAttempt(
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
        this.lastProgressNanos = nowNanos;
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

    /** Returns what the answer says of how many requests its server takes. */
    StatedLimit limit() {
        return responseHeaders == null ? StatedLimit.UNKNOWN : responseHeaders.limit();
    }

    /** Returns how long no whole event, or no part of a plain answer, has come, in milliseconds. */
    long silentMillis(long nowNanos) {
        return (nowNanos - lastProgressNanos) / NANOS_PER_MILLI;
    }

    /** Ends the attempt at once, also at the server; the listener hears nothing more. */
    void cancel() {
        over = true;
        sending.cancel();
    }

    /** Returns how the run ended, for those who learn from it. */
    RunReport end(RunReport.Outcome outcome) {
        long totalMillis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
        StatedLimit limit = hasEvents() ? StatedLimit.UNKNOWN : limit();
        return new RunReport(
                outcome, framer.events() - eventsBefore, firstMillis, totalMillis, limit);
    }

    @Override
    public void unreachable(String detail) {
        if (!over) {
            over = true;
            listener.notRun(this, RunReport.Outcome.UNREACHABLE, detail);
        }
    }

    @Override
    public void noticed(ResponseHeaders answered) {
        listener.noticed(this, answered);
    }

    @Override
    public void head(HttpResponse response, ResponseHeaders answered) {
        head = response;
        responseHeaders = answered;
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
        if (over) {
            return;
        }
        switch (reading) {
            case NOT_RUN -> skip(bytes);
            case EVENTS -> pass(framer.feed(bytes));
            case WHOLE -> keep(bytes);
        }
    }

    /** The body of a refusal says nothing; one without end ends with its connection. */
    private void skip(ByteBuf bytes) {
        skippedBytes += bytes.readableBytes();
        if (skippedBytes > MAX_REFUSAL_BYTES) {
            sending.cancel();
            end();
        }
    }

    private void keep(ByteBuf bytes) {
        answerBytes += bytes.readableBytes() + PART_BYTES;
        if (answerBytes > MAX_ANSWER_BYTES) {
            breakOff("answer_too_long");
            return;
        }
        lastProgressNanos = System.nanoTime();
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        whole.writeBytes(copy);
    }

    /** Gives up an answer that never ends, by closing its connection. */
    private void breakOff(String detail) {
        cancel();
        listener.broken(this, RunReport.Outcome.BROKEN, detail);
    }

    private void pass(byte[] events) {
        if (framer.pendingBytes() > MAX_EVENT_BYTES) {
            breakOff("event_too_long");
            return;
        }
        if (events.length == 0) {
            return;
        }
        lastProgressNanos = System.nanoTime();
        if (firstMillis == 0) {
            firstMillis = Math.max(1, (lastProgressNanos - sentNanos) / NANOS_PER_MILLI);
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
                RunReport.Outcome outcome =
                        isMisdirected()
                                ? RunReport.Outcome.MISDIRECTED
                                : RunReport.Outcome.REJECTED;
                listener.notRun(this, outcome, "status=" + head.status().code());
            }
            case EVENTS -> listener.streamEnded(this, head, framer.rest());
            case WHOLE -> endWhole();
        }
    }

    private void endWhole() {
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && !responseHeaders.signed()) {
            listener.broken(this, RunReport.Outcome.BROKEN, "unsigned");
            return;
        }
        listener.answered(this, head, responseHeaders, Payload.of(whole.toByteArray()));
    }

    @Override
    public void broken(String detail) {
        if (!over) {
            over = true;
            listener.broken(this, RunReport.Outcome.BROKEN, detail);
        }
    }
}
