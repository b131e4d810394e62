package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy whose open connections can be made silent for good, while new ones work. */
final class Proxy {
    private final ServerSocket server = new ServerSocket();
    private final InetSocketAddress target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    private volatile double lastWatchSeconds = -1_000;

    private static final class Link {
        private final Socket client;
        private final Socket upstream;
        private volatile boolean silent;

        Link(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }
    }

    Proxy(String ip, int port, InetSocketAddress target) throws IOException {
        this.target = target;
        server.bind(new InetSocketAddress(ip, port), 256);
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Makes all open connections silent for good; new ones work. Returns their number. */
    int silenceOpenConnections() {
        int silenced = 0;
        for (Link link : links) {
            if (!link.silent) {
                link.silent = true;
                silenced++;
            }
        }
        return silenced;
    }

    /** Returns whether a watch of the store passed here in the last seconds. */
    boolean watchedWithin(double seconds) {
        return Record.seconds() - lastWatchSeconds < seconds;
    }

    /** While cut, nothing passes on any connection, open or new; after it all works again. */
    void setCut(boolean newCut) {
        cut = newCut;
    }

    private void accept() {
        while (true) {
            try {
                Socket client = server.accept();
                Thread.ofVirtual().start(() -> open(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void open(Socket client) {
        try {
            Socket upstream = new Socket(target.getAddress(), target.getPort());
            client.setTcpNoDelay(true);
            upstream.setTcpNoDelay(true);
            Link link = new Link(client, upstream);
            links.add(link);
            Thread.ofVirtual().start(() -> copy(link, upstream, client));
            copy(link, client, upstream);
        } catch (IOException e) {
            close(client);
        }
    }

    private void copy(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                while (cut && !link.silent) {
                    Thread.sleep(5);
                }
                if (from == link.client && isWatch(buffer, length)) {
                    lastWatchSeconds = Record.seconds();
                }
                if (!link.silent) {
                    to.getOutputStream().write(buffer, 0, length);
                }
            }
        } catch (IOException e) {
            // One side was closed or reset.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!link.silent) {
            links.remove(link);
            close(from);
            close(to);
        }
    }

    private static boolean isWatch(byte[] buffer, int length) {
        return new String(buffer, 0, length, StandardCharsets.ISO_8859_1).startsWith("GET /kv-watch");
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
