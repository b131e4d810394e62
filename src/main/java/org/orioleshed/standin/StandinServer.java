package org.orioleshed.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;

/** A stand-in that serves JSON over HTTP on a loopback port once {@link #open} is called. */
abstract class StandinServer implements AutoCloseable {
    private final JsonHttpServer server;

    /**
     * Creates a server that is not listening yet.
     *
     * @param port the loopback port; zero for any free port
     */
    StandinServer(int port) {
        this.server = new JsonHttpServer(port, this::handle);
    }

    /** Handles one exchange, on its own thread. */
    abstract void handle(HttpExchange exchange) throws IOException, InterruptedException;

    void open() {
        server.open();
    }

    /** Closes the port and all connections, and reopens the port after {@code downMillis}. */
    final void crash(long downMillis) {
        server.crash(downMillis);
    }

    @Override
    public final void close() {
        server.close();
    }

    final int port() {
        return server.port();
    }
}
