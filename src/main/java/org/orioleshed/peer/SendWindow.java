package org.orioleshed.peer;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.orioleshed.wire.PeerWire.Frame;

/** The unacknowledged frames of one lane, kept so that a new connection can resend them. */
final class SendWindow {
    private final int maxPendingBytes;
    private final Deque<Frame> pending = new ArrayDeque<>();
    private long lastSequence;
    private int pendingBytes;

    SendWindow(int maxPendingBytes) {
        this.maxPendingBytes = maxPendingBytes;
    }

    /** Returns the frame to send, with its sequence number, or null if the window is full. */
    Frame add(Frame.Kind kind, byte[] body) {
        if (pendingBytes + body.length > maxPendingBytes) {
            return null;
        }
        lastSequence++;
        Frame frame =
                Frame.newBuilder()
                        .setKind(kind)
                        .setSequence(lastSequence)
                        .setBody(ByteString.copyFrom(body))
                        .build();
        pending.addLast(frame);
        pendingBytes += body.length;
        return frame;
    }

    /** Removes the frames up to {@code sequence}. */
    void acknowledge(long sequence) {
        while (!pending.isEmpty() && pending.peekFirst().getSequence() <= sequence) {
            pendingBytes -= pending.removeFirst().getBody().size();
        }
    }

    /** Removes the frames of one kind up to {@code sequence}. */
    void remove(long sequence, Frame.Kind kind) {
        Iterator<Frame> frames = pending.iterator();
        while (frames.hasNext()) {
            Frame frame = frames.next();
            if (frame.getSequence() <= sequence && frame.getKind() == kind) {
                frames.remove();
                pendingBytes -= frame.getBody().size();
            }
        }
    }

    /** Returns the highest sequence number assigned to a frame. */
    long lastSequence() {
        return lastSequence;
    }

    /** Returns the frames to resend on a new connection, in order. */
    List<Frame> unacknowledged() {
        return List.copyOf(pending);
    }

    /** Drops all pending frames and returns their number. */
    int clear() {
        int dropped = pending.size();
        pending.clear();
        pendingBytes = 0;
        return dropped;
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    int pendingBytes() {
        return pendingBytes;
    }
}
