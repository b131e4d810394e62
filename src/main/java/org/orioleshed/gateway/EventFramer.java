package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Splits a stream of server-sent events at event boundaries and tracks the last event's id.
 *
 * <p>A stream may go on at another server. Of such a run, only events that follow those passed on
 * before are returned. Events without an id are held back until an event with an id shows where the
 * run goes on. The first event that doesn't belong to the stream ends the run.
 *
 * <p>Comments, {@code retry} fields and empty lines alone are no events. Before the first event,
 * they are held back too, so that another server can still begin the stream.
 */
final class EventFramer {
    /** An event field or a comment; other lines may precede an event only as a header field. */
    private static final Pattern EVENT_LINE =
            Pattern.compile("(:.*|(id|event|data|retry)(:.*)?)", Pattern.DOTALL);

    private static final Pattern HEADER_LINE = Pattern.compile("[a-z][a-z0-9-]*: *[0-9]+");
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] COMMENT = ":".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] RETRY_FIELD = "retry".getBytes(StandardCharsets.US_ASCII);

    /** The part of a line that is parsed; longer than any field name with a number. */
    private static final int MAX_PARSED_BYTES = 64;

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final byte[] line = new byte[MAX_PARSED_BYTES];
    private int lineLength;
    private boolean lineStarted;
    private int eventLines;
    private boolean hasOtherLines;
    private boolean hasEventLines;
    private String pendingId;
    private StreamPosition position = StreamPosition.START;
    private int events;
    private int heldEvents;

    /** The number of pending bytes that may be passed on. */
    private int passableBytes;

    /** The number of pending bytes up to the end of the last event or comment. */
    private int endedBytes;

    private int blocks;
    private boolean resumes;
    private boolean resumed;
    private boolean foreign;

    /** Whether the run before may have been the end of the stream. */
    private boolean mayBeComplete;

    /** Begins the run of a server, which resumes the stream if events were passed on before. */
    void beginRun() {
        dropRest();
        resumes = events > 0;
        resumed = false;
        foreign = false;
    }

    /**
     * Takes bytes and returns the events that may be passed on; empty if there is none. Takes
     * nothing more once the run has sent something that doesn't belong to the stream.
     */
    byte[] feed(ByteBuf bytes) {
        while (!foreign && bytes.isReadable()) {
            byte next = bytes.readByte();
            pending.write(next);
            if (next == '\n') {
                endLine();
            } else if (next != '\r') {
                add(next);
            }
        }
        return takeComplete();
    }

    private void add(byte next) {
        lineStarted = true;
        if (lineLength < line.length) {
            line[lineLength++] = next;
        }
    }

    private void endLine() {
        if (lineStarted) {
            eventLines++;
            parseId();
            hasEventLines |= !isIdleLine();
            hasOtherLines |= resumes && !isEventLine();
        } else {
            endBlock();
        }
        lineLength = 0;
        lineStarted = false;
    }

    private void parseId() {
        int idLength = lineLength - ID_FIELD.length;
        if (idLength > 0 && startsWith(ID_FIELD)) {
            pendingId = new String(line, ID_FIELD.length, idLength, StandardCharsets.UTF_8).strip();
        }
    }

    /** Returns whether the line is no part of an event. */
    private boolean isIdleLine() {
        return startsWith(COMMENT) || startsWith(RETRY_FIELD);
    }

    private boolean startsWith(byte[] start) {
        return lineLength >= start.length
                && Arrays.equals(line, 0, start.length, start, 0, start.length);
    }

    private boolean isEventLine() {
        String text = new String(line, 0, lineLength, StandardCharsets.UTF_8);
        return EVENT_LINE.matcher(text).matches()
                || (eventLines == 1 && HEADER_LINE.matcher(text).matches());
    }

    private void endBlock() {
        if (resumes && !belongsToStream()) {
            foreign = true;
            return;
        }
        blocks++;
        endedBytes = pending.size();
        if (hasEventLines) {
            heldEvents++;
        }
        if (pendingId != null) {
            position = position.after(pendingId);
            resumed = resumes;
            mayBeComplete = false;
        }
        if (resumes ? resumed : events + heldEvents > 0) {
            passableBytes = endedBytes;
            events += heldEvents;
            heldEvents = 0;
        }
        beginBlock();
    }

    private boolean belongsToStream() {
        return !hasOtherLines && (pendingId == null || position.isFollowedBy(pendingId));
    }

    private void beginBlock() {
        pendingId = null;
        eventLines = 0;
        hasOtherLines = false;
        hasEventLines = false;
    }

    private byte[] takeComplete() {
        if (passableBytes == 0) {
            return new byte[0];
        }
        byte[] all = pending.toByteArray();
        byte[] result = Arrays.copyOf(all, passableBytes);
        pending.reset();
        pending.write(all, passableBytes, all.length - passableBytes);
        endedBytes -= passableBytes;
        passableBytes = 0;
        return result;
    }

    /** Returns what was held back of a run that has ended, unless it ended inside an event. */
    byte[] takeRest() {
        if (!isInsideEvent() && !awaitsResumption()) {
            passableBytes = endedBytes;
        }
        return takeComplete();
    }

    /** Returns whether an event has begun and not ended. */
    boolean isInsideEvent() {
        return pending.size() > endedBytes;
    }

    /** Returns a framer for another server that resumes the stream after the last whole event. */
    EventFramer resumed() {
        EventFramer result = new EventFramer();
        result.position = position;
        result.events = events;
        result.mayBeComplete = mayBeComplete;
        return result;
    }

    /** Discards what was not passed on, so that another server can resume the stream. */
    void dropRest() {
        pending.reset();
        lineLength = 0;
        lineStarted = false;
        heldEvents = 0;
        passableBytes = 0;
        endedBytes = 0;
        beginBlock();
    }

    /** Records that the run ended after an event without a statement that this was the last one. */
    void endedWithoutStatement() {
        mayBeComplete = true;
    }

    /**
     * Returns whether the current run, which ends without an event, confirms the end of the stream:
     * the run before it may have been complete. It must state its own end.
     */
    boolean confirmsEnd() {
        return mayBeComplete && pending.size() == 0;
    }

    /** Returns whether events were passed on before the current run, which has to go on there. */
    boolean resumes() {
        return resumes;
    }

    /** Returns whether the current run resumes the stream and has not yet gone on with it. */
    boolean awaitsResumption() {
        return resumes && !resumed;
    }

    /** Returns whether the current run has sent something that doesn't belong to the stream. */
    boolean isForeign() {
        return foreign;
    }

    /** Returns the number of buffered bytes that were not passed on. */
    int pendingBytes() {
        return pending.size();
    }

    /** Returns the id of the last complete event. */
    Optional<String> lastId() {
        return position.lastId();
    }

    /** Returns the number of events, and of comments and the like between them, that ended. */
    int blocks() {
        return blocks;
    }

    /** Returns the number of complete events. */
    int events() {
        return events;
    }
}
