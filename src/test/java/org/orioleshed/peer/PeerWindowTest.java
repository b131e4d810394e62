package org.orioleshed.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import org.orioleshed.wire.PeerWire.Frame;
import org.testng.annotations.Test;

/** Tests of {@link SendWindow} and {@link ReceiveWindow}. */
public class PeerWindowTest {
    @Test
    public void fullWindowRejectsFramesUntilAcknowledged() {
        SendWindow window = new SendWindow(10);
        assertNotNull(window.add(Frame.Kind.ROUTING, new byte[10]));
        assertNull(window.add(Frame.Kind.ROUTING, new byte[1]));
        window.acknowledge(1);
        assertEquals(window.pendingBytes(), 0);
        assertNotNull(window.add(Frame.Kind.ROUTING, new byte[1]));
    }

    @Test
    public void restartedSenderRestartsItsSequenceNumbers() {
        ReceiveWindow window = new ReceiveWindow();
        window.open(1);
        assertTrue(window.accept(1, 5));
        assertEquals(window.open(2), 0);
        assertTrue(window.accept(2, 1));
    }

    @Test
    public void framesOfASupersededIncarnationAreRejected() {
        ReceiveWindow window = new ReceiveWindow();
        window.open(2);
        assertEquals(window.open(1), ReceiveWindow.STALE);
        assertFalse(window.accept(1, 9));
    }
}
