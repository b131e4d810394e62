package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.http.BodyEnd;
import org.orioleshed.model.Payload;

/**
 * One attempt of a request at one server. Reads the server's response and reports the outcome to
 * its {@link Listener} once.
 */
final class ServerAttempt implements ServerCall {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The maximum size of a buffered response to a plain call. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** Counted per part in addition to its content, to bound endless streams of tiny parts. */
    private static final int PART_OVERHEAD_BYTES = 64;

    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** Beyond this size of a rejection's body, the connection is closed instead of read. */
    private static final int MAX_REJECTION_BYTES = 64 << 10;

    private enum BodyMode {
        WHOLE,
        EVENTS,
        NOT_RUN
    }

    private final RunKey run;
    private final PoolServer server;
    private final boolean wantsEvents;
    private final EventFramer framer;
    private final Listener listener;
    private final ResponseBudget<ServerAttempt> budget;
    private final ServerConnectionPool.PendingSend pendingSend =
            new ServerConnectionPool.PendingSend();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final long sentNanos;
    private final int eventsBefore;
    private long lastProgressNanos;
    private long firstMillis;
    private BodyMode bodyMode = BodyMode.WHOLE;
    private HttpResponse head;
    private ResponseHeaders responseHeaders;
    private long bufferedBytes;
    private long skippedBytes;
    private BodyEnd bodyEnd = BodyEnd.UNKNOWN;
    private boolean finished;

    /** Receives the outcome of an attempt, on the data thread. */
    interface Listener {
        /** Takes complete events of a stream; {@code head} is the head of the response. */
        void events(ServerAttempt attempt, HttpResponse head, byte[] events);

        /** Takes the server state stated in the header fields of a response. */
        void noticed(ServerAttempt attempt, ResponseHeaders responseHeaders);

        /** Returns whether the request is still to be sent, now that a connection is open. */
        boolean confirmSend(ServerAttempt attempt);

        /** Called when the stream is complete. */
        void streamEnded(ServerAttempt attempt, HttpResponse head);

        /** Takes a whole response. */
        void answered(
                ServerAttempt attempt,
                HttpResponse head,
                ResponseHeaders responseHeaders,
                Payload body);

        /** Called when the server provably did not run the request. */
        void notRun(ServerAttempt attempt, RunReport.Outcome outcome, String detail);

        /** Called when the request may have run but no complete response arrived. */
        void broken(ServerAttempt attempt, RunReport.Outcome outcome, String detail);
    }

    /**
     * Creates an attempt.
     *
     * @param wantsEvents whether a successful response is passed on event by event
     * @param framer splits the stream into events; shared with later attempts, which may resume the
     *     stream
     * @param budget bounds what is kept of all responses
     */
    ServerAttempt(
            RunKey run,
            PoolServer server,
            boolean wantsEvents,
            EventFramer framer,
            Listener listener,
            ResponseBudget<ServerAttempt> budget,
            long nowNanos) {
        this.run = run;
        this.server = server;
        this.wantsEvents = wantsEvents;
        this.framer = framer;
        this.listener = listener;
        this.budget = budget;
        this.sentNanos = nowNanos;
        this.lastProgressNanos = nowNanos;
        framer.beginRun();
        this.eventsBefore = framer.events();
    }

    RunKey run() {
        return run;
    }

    PoolServer server() {
        return server;
    }

    /** Pauses or resumes reading the response; a connection that is used again is left alone. */
    void setReading(boolean enabled) {
        if (!finished) {
            pendingSend.setReading(enabled);
        }
    }

    ServerConnectionPool.PendingSend pendingSend() {
        return pendingSend;
    }

    /** Returns the header fields of the response; empty before its head arrived. */
    HttpHeaders headers() {
        return head == null ? EmptyHttpHeaders.INSTANCE : head.headers();
    }

    /** Returns how the response tells where its body ends. */
    BodyEnd bodyEnd() {
        return bodyEnd;
    }

    /** Returns the number of bytes of an event that is not complete. */
    int pendingBytes() {
        return framer.pendingBytes();
    }

    boolean hasEvents() {
        return firstMillis > 0;
    }

    /** Returns the time to the first event, in milliseconds; 0 before the first event. */
    long firstMillis() {
        return firstMillis;
    }

    /** Returns the time from the first event to the last one so far, in milliseconds. */
    long streamedMillis() {
        long elapsedMillis = (lastProgressNanos - sentNanos) / NANOS_PER_MILLI;
        return hasEvents() ? Math.max(0, elapsedMillis - firstMillis) : 0;
    }

    /** Returns the request rate limit that the server stated in its response. */
    StatedLimit limit() {
        return responseHeaders == null ? StatedLimit.UNKNOWN : responseHeaders.limit();
    }

    /** Returns the rejections per second above which the server crashes, as it stated. */
    StatedLimit brittle() {
        return responseHeaders == null ? StatedLimit.UNKNOWN : responseHeaders.brittle();
    }

    /**
     * Returns the time since the last complete event or comment of a stream, or part of a plain
     * response, in milliseconds.
     */
    long silentMillis(long nowNanos) {
        return (nowNanos - lastProgressNanos) / NANOS_PER_MILLI;
    }

    /** Begins to measure silence anew, after reading was paused or resumed. */
    void restartSilence() {
        lastProgressNanos = System.nanoTime();
    }

    /** Ends the attempt, and frees what is kept of its response. */
    private void finish() {
        finished = true;
        var unused = budget.update(this, 0);
    }

    /** Ends the attempt at once by closing the connection; the listener is not called any more. */
    void cancel() {
        finish();
        pendingSend.cancel();
    }

    /** Returns the report of the ended run, for the schedulers. */
    RunReport end(RunReport.Outcome outcome) {
        long totalMillis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
        StatedLimit limit = hasEvents() ? StatedLimit.UNKNOWN : limit();
        StatedLimit brittle = hasEvents() ? StatedLimit.UNKNOWN : brittle();
        return new RunReport(
                outcome,
                framer.events() - eventsBefore,
                firstMillis,
                totalMillis,
                streamedMillis(),
                limit,
                brittle);
    }

    @Override
    public void unreachable(String detail) {
        if (!finished) {
            finish();
            listener.notRun(this, RunReport.Outcome.UNREACHABLE, detail);
        }
    }

    @Override
    public boolean confirmSend() {
        return !finished && listener.confirmSend(this);
    }

    @Override
    public void noticed(ResponseHeaders headers) {
        listener.noticed(this, headers);
    }

    @Override
    public void head(HttpResponse response, ResponseHeaders headers, BodyEnd end) {
        bodyEnd = end;
        head = response;
        responseHeaders = headers;
        boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (headers.notRun() || isMisdirected()) {
            bodyMode = BodyMode.NOT_RUN;
        } else if (success && headers.signed() && wantsEvents && mayBePassedOnByEvents()) {
            bodyMode = BodyMode.EVENTS;
        } else {
            bodyMode = BodyMode.WHOLE;
        }
    }

    /**
     * Returns whether the body is a stream of events. A stream that has begun is only resumed by a
     * body that is the rest of that stream.
     */
    private boolean mayBePassedOnByEvents() {
        boolean isRest =
                isStatus(HttpResponseStatus.OK)
                        && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
        return isEventStream() && (isRest || !framer.resumes());
    }

    /** Returns whether the response states that its body is an event stream, or states no type. */
    private boolean isEventStream() {
        CharSequence type = HttpUtil.getMimeType(head);
        return type == null || HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type);
    }

    /** Returns whether the response has a status. */
    boolean isStatus(HttpResponseStatus status) {
        return head != null && head.status().equals(status);
    }

    private boolean isMisdirected() {
        return isStatus(HttpResponseStatus.MISDIRECTED_REQUEST);
    }

    @Override
    public void content(ByteBuf bytes) {
        if (finished) {
            return;
        }
        switch (bodyMode) {
            case NOT_RUN -> skip(bytes);
            case EVENTS -> feed(bytes);
            case WHOLE -> buffer(bytes);
        }
    }

    /** Skips the body of a rejection; closes the connection if the body is too long. */
    private void skip(ByteBuf bytes) {
        skippedBytes += bytes.readableBytes();
        if (skippedBytes > MAX_REJECTION_BYTES) {
            pendingSend.cancel();
            end();
        }
    }

    private void buffer(ByteBuf bytes) {
        bufferedBytes += bytes.readableBytes() + PART_OVERHEAD_BYTES;
        if (bufferedBytes > MAX_RESPONSE_BYTES) {
            abort("answer_too_long");
            return;
        }
        lastProgressNanos = System.nanoTime();
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        keep(bufferedBytes);
    }

    /** Records what is kept of the response; gives up the largest one if it is too much. */
    private void keep(long bytes) {
        budget.update(this, bytes).ifPresent(largest -> largest.abort("memory"));
    }

    /** Aborts a response that is too long by closing its connection. */
    private void abort(String detail) {
        cancel();
        listener.broken(this, RunReport.Outcome.BROKEN, detail);
    }

    private void feed(ByteBuf bytes) {
        int blocksBefore = framer.blocks();
        byte[] events = framer.feed(bytes);
        if (framer.blocks() > blocksBefore) {
            lastProgressNanos = System.nanoTime();
        }
        passOn(events);
        if (!finished && framer.isForeign()) {
            abort("not_the_stream");
        }
    }

    private void passOn(byte[] events) {
        if (framer.pendingBytes() > MAX_EVENT_BYTES) {
            abort("event_too_long");
            return;
        }
        keep(framer.pendingBytes());
        if (events.length == 0 || finished) {
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
        if (finished) {
            return;
        }
        if (bodyMode == BodyMode.EVENTS && bodyEnd.isStated()) {
            passOn(framer.takeRest());
            if (finished) {
                return;
            }
        }
        finish();
        switch (bodyMode) {
            case NOT_RUN -> {
                RunReport.Outcome outcome =
                        isMisdirected()
                                ? RunReport.Outcome.MISDIRECTED
                                : RunReport.Outcome.REJECTED;
                listener.notRun(this, outcome, "status=" + head.status().code());
            }
            case EVENTS -> endStream();
            case WHOLE -> endWhole();
        }
    }

    /**
     * Returns whether the response ended before its body began. The end of a connection alone does
     * not tell a body without any bytes from one that was broken off; a server that has none to
     * send states a length of zero.
     */
    private boolean endedBeforeBody(boolean bodyBegan) {
        return bodyEnd == BodyEnd.CONNECTION && !bodyBegan;
    }

    private void endStream() {
        if (endedBeforeBody(framer.events() > eventsBefore)) {
            listener.broken(this, RunReport.Outcome.BROKEN, "ended_before_first_event");
            return;
        }
        boolean confirmsEnd = bodyEnd.isStated() && framer.confirmsEnd();
        if (framer.awaitsResumption() && !confirmsEnd) {
            listener.broken(this, RunReport.Outcome.BROKEN, "ended_before_resumption");
            return;
        }
        if (framer.isInsideEvent()) {
            listener.broken(this, RunReport.Outcome.BROKEN, "ended_inside_event");
            return;
        }
        listener.streamEnded(this, head);
    }

    private void endWhole() {
        boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS;
        if (success && !responseHeaders.signed()) {
            listener.broken(this, RunReport.Outcome.BROKEN, "unsigned");
            return;
        }
        if (success && framer.resumes()) {
            listener.broken(this, RunReport.Outcome.BROKEN, "no_event_stream");
            return;
        }
        if (success && endedBeforeBody(body.size() > 0)) {
            listener.broken(this, RunReport.Outcome.BROKEN, "ended_before_body");
            return;
        }
        listener.answered(this, head, responseHeaders, Payload.of(body.toByteArray()));
    }

    @Override
    public void broken(String detail) {
        if (!finished) {
            finish();
            listener.broken(this, RunReport.Outcome.BROKEN, detail);
        }
    }
}
