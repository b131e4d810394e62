package org.orioleshed.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/** One host's network path to a fake server, which a test can break. */
final class ServerPath implements AutoCloseable {
    private static final int BACKLOG = 100;

    private final InetSocketAddress server;
    private final InetSocketAddress address;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<Socket> fillers = new ArrayList<>();
    private volatile Fault fault = Fault.NONE;
    private volatile UnaryOperator<String> replies = UnaryOperator.identity();
    private ServerSocket listener;
    private Thread acceptor;

    /** What is wrong with the path. */
    enum Fault {
        NONE,
        /** New connections are refused, and open ones are reset. */
        REFUSED,
        /** New connections and open ones hang. */
        HANGING,
        /** New connections are reset once they are established, and open ones as well. */
        RESET,
        /** New connections are refused while open ones work. */
        NEW_REFUSED
    }

    ServerPath(InetSocketAddress server) throws IOException {
        this(server, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** Opens a path from {@code from} to {@code server}. */
    ServerPath(InetSocketAddress server, InetSocketAddress from) throws IOException {
        this.server = server;
        listener = new ServerSocket(from.getPort(), BACKLOG, from.getAddress());
        address = (InetSocketAddress) listener.getLocalSocketAddress();
        accept(listener);
    }

    /** Sets a change to make to what the server sends, as text in ISO 8859-1. */
    void change(UnaryOperator<String> newReplies) {
        replies = newReplies;
    }

    int port() {
        return address.getPort();
    }

    synchronized void set(Fault newFault) throws IOException {
        fault = newFault;
        stopAccepting();
        for (Socket filler : fillers) {
            filler.close();
        }
        fillers.clear();
        switch (newFault) {
            case NONE -> accept(listen(BACKLOG));
            case RESET -> {
                resetOpen();
                accept(listen(BACKLOG));
            }
            case REFUSED -> resetOpen();
            case NEW_REFUSED -> {}
            case HANGING -> fill(listen(1));
        }
    }

    /** Returns once new connections are refused: until then the kernel would still accept some. */
    private void stopAccepting() throws IOException {
        listener.close();
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ServerSocket listen(int backlog) throws IOException {
        Fleet.await(() -> tryListen(backlog));
        return listener;
    }

    /** The previous listener frees its port only when its thread leaves the accept call. */
    private boolean tryListen(int backlog) {
        try {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(address, backlog);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Fills the accept queue, so that the kernel ignores further connection attempts. */
    private void fill(ServerSocket full) throws IOException {
        for (int i = 0; i < 3; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(full.getLocalSocketAddress(), 50);
            } catch (java.net.SocketTimeoutException e) {
                return;
            }
        }
    }

    /** Resets all open connections. */
    void resetOpen() throws IOException {
        for (Socket socket : open) {
            reset(socket);
        }
        open.clear();
    }

    private static void reset(Socket socket) throws IOException {
        try {
            socket.setSoLinger(true, 0);
        } catch (SocketException e) {
            // The thread that copies from it has closed it.
            return;
        }
        socket.close();
    }

    private static void resetQuietly(Socket socket) {
        try {
            reset(socket);
        } catch (IOException e) {
            // The connection is closed, which is all that is wanted.
            return;
        }
    }

    private void accept(ServerSocket from) {
        acceptor =
                Thread.ofVirtual()
                        .start(
                                () -> {
                                    try {
                                        while (true) {
                                            pass(from.accept());
                                        }
                                    } catch (IOException e) {
                                        // The listener was closed.
                                        return;
                                    }
                                });
    }

    private void pass(Socket near) throws IOException {
        if (fault == Fault.RESET) {
            reset(near);
            return;
        }
        Socket far = new Socket(server.getAddress(), server.getPort());
        open.add(near);
        open.add(far);
        Thread.ofVirtual().start(() -> copy(near, far, UnaryOperator.identity()));
        Thread.ofVirtual().start(() -> copy(far, near, text -> replies.apply(text)));
    }

    private void copy(Socket from, Socket to, UnaryOperator<String> change) {
        byte[] buffer = new byte[8_192];
        try (from) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (fault == Fault.HANGING) {
                    Thread.sleep(60_000);
                }
                String text = new String(buffer, 0, read, StandardCharsets.ISO_8859_1);
                out.write(change.apply(text).getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            to.close();
        } catch (IOException e) {
            // One side reset or closed the connection; a reset is passed on as one.
            resetQuietly(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        set(Fault.REFUSED);
    }
}
