package org.orioleshed.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;

/** A stand-in that answers JSON over HTTP on a loopback port, from {@link #open} on. */
abstract class StandinServer implements AutoCloseable {
    private final JsonHandler handler;

    /**
     * Makes a server that does not listen yet.
     *
     * @param port the loopback port; zero for any that is free
     */
    StandinServer(int port) {
        this.handler = new JsonHandler(port, this::handle);
    }

    /** Answers one exchange; called on a thread of its own. */
    abstract void handle(HttpExchange exchange) throws IOException, InterruptedException;

    void open() {
        handler.open();
    }

    /** Closes the port and all connections, and opens the port again after a while. */
    final void crash(long downMillis) {
        handler.crash(downMillis);
    }

    @Override
    public final void close() {
        handler.close();
    }

    final int port() {
        return handler.port();
    }
}
