package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Cuts a stream of server-sent events at the ends of events and notes the last event's id. */
final class EventFramer {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private byte[] line = new byte[64];
    private int lineLength;
    private boolean lineBegun;
    private String idInEvent;
    private String lastId;
    private int events;
    private int complete;

    /** Takes bytes and returns those up to the last end of an event; empty where there is none. */
    byte[] feed(ByteBuf bytes) {
        while (bytes.isReadable()) {
            byte next = bytes.readByte();
            pending.write(next);
            if (next == '\n') {
                endLine();
            } else if (next != '\r') {
                add(next);
            }
        }
        return take();
    }

    private void add(byte next) {
        lineBegun = true;
        if (lineLength < line.length) {
            line[lineLength++] = next;
        }
    }

    private void endLine() {
        if (lineBegun) {
            noteId();
        } else {
            endEvent();
        }
        lineLength = 0;
        lineBegun = false;
    }

    private void noteId() {
        if (lineLength <= ID_FIELD.length) {
            return;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (line[i] != ID_FIELD[i]) {
                return;
            }
        }
        int length = lineLength - ID_FIELD.length;
        idInEvent = new String(line, ID_FIELD.length, length, StandardCharsets.UTF_8).strip();
    }

    private void endEvent() {
        complete = pending.size();
        events++;
        if (idInEvent != null) {
            lastId = idInEvent;
            idInEvent = null;
        }
    }

    private byte[] take() {
        if (complete == 0) {
            return new byte[0];
        }
        byte[] all = pending.toByteArray();
        byte[] result = java.util.Arrays.copyOf(all, complete);
        pending.reset();
        pending.write(all, complete, all.length - complete);
        complete = 0;
        return result;
    }

    /** Returns what follows the last end of an event and forgets it. */
    byte[] rest() {
        byte[] result = pending.toByteArray();
        dropRest();
        return result;
    }

    /** Forgets the event that was cut off, so that another server's stream can go on. */
    void dropRest() {
        pending.reset();
        lineLength = 0;
        lineBegun = false;
        idInEvent = null;
        complete = 0;
    }

    /** Returns the bytes of the event that is not whole yet. */
    int pendingBytes() {
        return pending.size();
    }

    /** Returns the id of the last whole event. */
    Optional<String> lastId() {
        return Optional.ofNullable(lastId);
    }

    /** Returns the number of whole events. */
    int events() {
        return events;
    }
}
