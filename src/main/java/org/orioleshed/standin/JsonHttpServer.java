package org.orioleshed.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A loopback HTTP server for JSON that handles each exchange on its own virtual thread. */
final class JsonHttpServer implements AutoCloseable {
    static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int BACKLOG = 1024;

    /** Handles one exchange. */
    interface Handler {
        void handle(HttpExchange exchange) throws IOException, InterruptedException;
    }

    private final int port;
    private final Handler handler;
    private HttpServer server;

    JsonHttpServer(int port, Handler handler) {
        this.port = port;
        this.handler = handler;
    }

    synchronized void open() {
        try {
            InetSocketAddress address =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            server = HttpServer.create(address, BACKLOG);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on port " + port, e);
        }
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handleSafely);
        server.start();
    }

    /**
     * Closes the port and all connections, and reopens the port later.
     *
     * @param downMillis the time until the port is reopened, in milliseconds
     */
    void crash(long downMillis) {
        close();
        Executors.newVirtualThreadPerTaskExecutor()
                .execute(
                        () -> {
                            try {
                                TimeUnit.MILLISECONDS.sleep(downMillis);
                                open();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
    }

    @Override
    public synchronized void close() {
        server.stop(0);
    }

    int port() {
        return server.getAddress().getPort();
    }

    private void handleSafely(HttpExchange exchange) {
        try (exchange) {
            handleOrReject(exchange);
        } catch (IOException e) {
            log.atFine().log("event=exchange_broken port=%d detail=%s", port, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            log.atWarning().withCause(e).log("event=exchange_failed port=%d", port);
        }
    }

    private void handleOrReject(HttpExchange exchange) throws IOException, InterruptedException {
        try {
            handler.handle(exchange);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            error(exchange, 400, "bad_request", e.getMessage());
        }
    }

    static JsonNode read(HttpExchange exchange) throws IOException {
        return JSON.readTree(exchange.getRequestBody().readAllBytes());
    }

    static <T> T read(HttpExchange exchange, Class<T> type) throws IOException {
        return JSON.treeToValue(read(exchange), type);
    }

    static void reply(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.getResponseBody().flush();
    }

    static void error(HttpExchange exchange, int status, String code, String message)
            throws IOException {
        Map<String, String> detail = Map.of("code", code, "message", String.valueOf(message));
        reply(exchange, status, Map.of("error", detail));
    }
}
