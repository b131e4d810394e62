package org.orioleshed.peer;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.orioleshed.wire.PeerWire.Frame;

/**
 * Properties of {@link SendWindow} and {@link ReceiveWindow} together when connections break: no
 * message is lost, repeated or reordered.
 */
class PeerWindowProperties {
    private static final int MAX_BYTES = 1 << 16;
    private static final long INCARNATION = 7;

    /**
     * Each step sends one message. 0: delivered; 1: delivered and acknowledged; 2: connection
     * broken, and the acknowledgement in the next hello lost; 3: connection broken.
     */
    @Property(seed = "2026", tries = 500)
    void everyMessageArrivesOnceAndInOrder(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(max = 3) Integer> steps) {
        SendWindow sender = new SendWindow(MAX_BYTES);
        ReceiveWindow receiver = new ReceiveWindow();
        receiver.open(INCARNATION);
        List<Integer> delivered = new ArrayList<>();
        for (int i = 0; i < steps.size(); i++) {
            Frame frame = sender.add(Frame.Kind.ROUTING, new byte[] {(byte) i});
            switch (steps.get(i)) {
                case 0 -> deliver(receiver, frame, delivered);
                case 1 -> {
                    deliver(receiver, frame, delivered);
                    sender.acknowledge(receiver.lastSequence());
                }
                case 2 -> reconnect(sender, receiver, delivered, false);
                default -> reconnect(sender, receiver, delivered, true);
            }
        }
        reconnect(sender, receiver, delivered, true);
        for (int i = 0; i < steps.size(); i++) {
            assertEquals(delivered.get(i).intValue(), i);
        }
        assertEquals(delivered.size(), steps.size());
    }

    /**
     * Delivers a frame only if no earlier frame was lost: a connection never delivers a frame after
     * a lost one.
     */
    private static void deliver(ReceiveWindow receiver, Frame frame, List<Integer> delivered) {
        if (frame.getSequence() == receiver.lastSequence() + 1
                && receiver.accept(INCARNATION, frame.getSequence())) {
            delivered.add((int) frame.getBody().byteAt(0));
        }
    }

    private static void reconnect(
            SendWindow sender,
            ReceiveWindow receiver,
            List<Integer> delivered,
            boolean helloArrives) {
        long received = receiver.open(INCARNATION);
        if (helloArrives) {
            sender.acknowledge(received);
        }
        for (Frame frame : sender.unacknowledged()) {
            if (receiver.accept(INCARNATION, frame.getSequence())) {
                delivered.add((int) frame.getBody().byteAt(0));
            }
        }
    }
}
