package org.orioleshed.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.orioleshed.model.HostId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link PeerNetwork} over loopback sockets: lost, repeated or delayed messages after
 * silent connections, peer restarts and invalid bytes.
 */
public class PeerNetworkTest {
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");
    private static final long TIMEOUT_SECONDS = 60;

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{10}, {PeerLimits.DEFAULT.bulkBytes()}, {1 << 20}};
    }

    @Test(dataProvider = "sizes")
    public void messagesArriveWholeOnEitherLane(int bytes) throws Exception {
        byte[] message = new byte[bytes];
        new Random(1).nextBytes(message);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        InetSocketAddress address = freeAddress();
        try (PeerNetwork b = network(B, address, received);
                PeerNetwork a = network(A, freeAddress(), new LinkedBlockingQueue<>())) {
            a.setAddress(B, address);
            a.send(B, MessageKind.ROUTING, message);
            assertEquals(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), message);
            assertEquals(b.droppedMessages(), 0);
        }
        assertEquals(received.size(), 0);
    }

    @Test
    public void messageToUnknownHostIsDropped() throws Exception {
        try (PeerNetwork a = network(A, freeAddress(), new LinkedBlockingQueue<>())) {
            assertFalse(a.send(B, MessageKind.ROUTING, new byte[1]));
            assertEquals(a.droppedMessages(), 1);
        }
    }

    /** The first connection discards all bytes but stays open; a new connection works. */
    @Test
    public void silentConnectionIsReplacedWithoutMessageLoss() throws Exception {
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        InetSocketAddress address = freeAddress();
        try (PeerNetwork b = network(B, address, received);
                SilencingProxy proxy = new SilencingProxy(address);
                PeerNetwork a = network(A, freeAddress(), new LinkedBlockingQueue<>())) {
            a.setAddress(B, proxy.address());
            a.send(B, MessageKind.ROUTING, new byte[] {1});
            assertNotNull(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            proxy.silence();
            a.send(B, MessageKind.ROUTING, new byte[] {2});
            assertEquals(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), new byte[] {2});
            assertEquals(received.size(), 0);
            assertEquals(b.droppedMessages(), 0);
        }
    }

    /** A fleet of hundreds of hosts has hundreds of connections, most of them idle for seconds. */
    @Test
    public void connectionWithoutPendingFramesSendsNothingAndStaysOpen() throws Exception {
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        InetSocketAddress address = freeAddress();
        try (PeerNetwork b = network(B, address, received);
                SilencingProxy proxy = new SilencingProxy(address);
                PeerNetwork a = network(A, freeAddress(), new LinkedBlockingQueue<>())) {
            a.setAddress(B, proxy.address());
            a.send(B, MessageKind.ROUTING, new byte[] {1});
            assertNotNull(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            proxy.awaitQuiet(2L * PeerLimits.DEFAULT.silenceTimeoutMillis());
            a.send(B, MessageKind.ROUTING, new byte[] {2});
            assertEquals(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), new byte[] {2});
            assertEquals(proxy.connections(), 1);
            assertEquals(b.droppedMessages(), 0);
        }
    }

    /** The first process receives the messages but may stop before it acknowledges them. */
    @Test
    public void routingMessageIsNotResentToARestartedPeer() throws Exception {
        LinkedBlockingQueue<byte[]> before = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<byte[]> after = new LinkedBlockingQueue<>();
        InetSocketAddress address = freeAddress();
        InetSocketAddress next = freeAddress();
        try (PeerNetwork first = network(B, 1, address, before);
                PeerNetwork second = network(B, 2, next, after);
                PeerNetwork a = network(A, freeAddress(), new LinkedBlockingQueue<>())) {
            a.setAddress(B, address);
            a.send(B, MessageKind.ROUTING, new byte[] {1});
            a.send(B, MessageKind.REQUEST, new byte[] {2});
            assertNotNull(before.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertNotNull(before.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            a.setAddress(B, next);
            a.send(B, MessageKind.ROUTING, new byte[] {3});
            byte[] delivered = after.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (Arrays.equals(delivered, new byte[] {2})) {
                delivered = after.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
            assertEquals(delivered, new byte[] {3});
            assertEquals(first.droppedMessages() + second.droppedMessages(), 0);
        }
    }

    @Test
    public void randomBytesCloseOnlyTheConnectionTheyArriveOn() throws Exception {
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        InetSocketAddress address = freeAddress();
        try (PeerNetwork b = network(B, address, received);
                PeerNetwork a = network(A, freeAddress(), new LinkedBlockingQueue<>())) {
            byte[] garbage = new byte[4_096];
            for (int seed = 0; seed < 20; seed++) {
                new Random(seed).nextBytes(garbage);
                try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                    socket.getOutputStream().write(garbage);
                } catch (IOException e) {
                    // The peer may close the connection first.
                }
            }
            a.setAddress(B, address);
            a.send(B, MessageKind.MOVE, new byte[] {3});
            assertEquals(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), new byte[] {3});
            assertEquals(b.droppedMessages(), 0);
        }
    }

    private static PeerNetwork network(
            HostId id, InetSocketAddress address, LinkedBlockingQueue<byte[]> received) {
        return network(id, 1, address, received);
    }

    private static PeerNetwork network(
            HostId id,
            long incarnation,
            InetSocketAddress address,
            LinkedBlockingQueue<byte[]> received) {
        return new PeerNetwork(
                id,
                incarnation,
                address,
                PeerLimits.DEFAULT,
                (from, kind, body) -> received.add(body));
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }

    /** A proxy that can discard all further bytes of the connections open at that moment. */
    private static final class SilencingProxy implements AutoCloseable {
        private final ServerSocket server =
                new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        private final InetSocketAddress target;
        private final AtomicInteger connections = new AtomicInteger();
        private volatile AtomicBoolean silent = new AtomicBoolean();
        private volatile long lastByteNanos = System.nanoTime();

        SilencingProxy(InetSocketAddress target) throws IOException {
            this.target = target;
            threads.execute(this::accept);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        }

        void silence() {
            AtomicBoolean old = silent;
            silent = new AtomicBoolean();
            old.set(true);
        }

        int connections() {
            return connections.get();
        }

        /** Waits until no byte has been received for {@code millis}. */
        void awaitQuiet(long millis) throws InterruptedException {
            long quietNanos = TimeUnit.MILLISECONDS.toNanos(millis);
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (System.nanoTime() - lastByteNanos < quietNanos) {
                assertTrue(
                        System.nanoTime() < endNanos,
                        "bytes were still received after " + TIMEOUT_SECONDS + " s");
                Thread.sleep(20);
            }
        }

        private void accept() {
            try {
                while (true) {
                    Socket inbound = server.accept();
                    connections.incrementAndGet();
                    Socket outbound = new Socket(target.getAddress(), target.getPort());
                    AtomicBoolean connectionSilent = silent;
                    threads.execute(() -> copy(inbound, outbound, connectionSilent));
                    threads.execute(() -> copy(outbound, inbound, connectionSilent));
                }
            } catch (IOException e) {
                // The server socket was closed.
            }
        }

        private void copy(Socket from, Socket to, AtomicBoolean discard) {
            try (from;
                    to) {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                byte[] buffer = new byte[8_192];
                int read = in.read(buffer);
                while (read >= 0) {
                    lastByteNanos = System.nanoTime();
                    if (!discard.get()) {
                        out.write(buffer, 0, read);
                    }
                    read = in.read(buffer);
                }
            } catch (IOException e) {
                // One side closed the connection.
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            threads.shutdownNow();
        }
    }
}
