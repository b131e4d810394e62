package org.orioleshed.entry;

import com.codahale.metrics.MetricRegistry;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.orioleshed.gateway.MetricsText;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Request;

/** The HTTP server for callers. Each open request has its own virtual thread. */
final class CallerServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;
    private static final String MAX_REQUEST_SECONDS = "20";
    private static final String MAX_CONNECTIONS = "8000";
    private static final int BACKLOG = 1_024;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final RequestParser parser;
    private final ActionExecutor actions;
    private final HostEventLoop eventLoop;
    private final EntryLimits limits;
    private final MetricRegistry metrics;
    private final EntryMetrics entryMetrics;
    private final MetricsText metricsText;
    private final BooleanSupplier ready;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpServer server;

    CallerServer(
            InetSocketAddress listen,
            RequestParser parser,
            ActionExecutor actions,
            HostEventLoop eventLoop,
            EntryLimits limits,
            MetricRegistry metrics,
            EntryMetrics entryMetrics,
            BooleanSupplier ready)
            throws IOException {
        this.parser = parser;
        this.actions = actions;
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.metrics = metrics;
        this.entryMetrics = entryMetrics;
        this.metricsText = new MetricsText(metrics);
        this.ready = ready;
        this.server = HttpServer.create(listen, BACKLOG);
        server.setExecutor(threads);
        server.createContext("/v1/chat/completions", guarded(withSettings(this::chat)));
        server.createContext("/v1/services/", guarded(withSettings(this::service)));
        server.createContext(
                "/v1/requests/",
                guarded(withSettings(new RequestStatusHandler(parser, actions)::handle)));
        server.createContext("/healthz", guarded(http -> sendText(http, OK, "alive")));
        server.createContext("/readyz", guarded(this::readiness));
        server.createContext("/metrics", guarded(http -> sendText(http, OK, metricsText.write())));
        server.createContext("/", guarded(http -> CallerReply.sendError(http, notFound())));
    }

    /**
     * Sets the system properties of the JDK's HTTP server that limit slow callers and the number of
     * connections. Must be called before the first server is created.
     */
    static void limitSlowCallers() {
        System.setProperty("sun.net.httpserver.maxReqTime", MAX_REQUEST_SECONDS);
        System.setProperty("jdk.httpserver.maxConnections", MAX_CONNECTIONS);
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    void start() {
        server.start();
    }

    /** Reports "not ready" from now on and rejects new requests. */
    void drain() {
        draining.set(true);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    private HttpHandler guarded(HttpHandler handler) {
        return new GuardedHandler(handler, metrics.counter("callers.gone"));
    }

    /**
     * Returns a handler that refuses all calls until the fleet's settings are known. Without them
     * each key would be unknown, and a caller does not retry that.
     */
    private HttpHandler withSettings(HttpHandler handler) {
        return http -> {
            if (ready.getAsBoolean()) {
                handler.handle(http);
            } else {
                CallerReply.sendError(http, CallerError.noSettings(RETRY_AFTER_MILLIS));
            }
        };
    }

    private void chat(HttpExchange http) throws IOException {
        byte[] body = body(http);
        if (body == null) {
            return;
        }
        admit(http, parser.chat(http.getRequestHeaders(), body, System.nanoTime()));
    }

    private void service(HttpExchange http) throws IOException {
        List<String> path = List.of(http.getRequestURI().getPath().split("/"));
        if (path.size() != 5) {
            CallerReply.sendError(http, notFound());
            return;
        }
        byte[] body = body(http);
        if (body == null) {
            return;
        }
        admit(
                http,
                parser.service(
                        http.getRequestHeaders(),
                        path.get(3),
                        path.get(4),
                        body,
                        System.nanoTime()));
    }

    /** Returns the body, or null if an error response has been sent instead. */
    private byte[] body(HttpExchange http) throws IOException {
        if (!http.getRequestMethod().equals("POST")) {
            CallerReply.sendError(
                    http,
                    CallerError.of(new BadRequest(METHOD_NOT_ALLOWED, "bad_method", "use POST")));
            return null;
        }
        byte[] body = http.getRequestBody().readNBytes(limits.maxBodyBytes() + 1);
        if (body.length > limits.maxBodyBytes()) {
            CallerReply.sendError(
                    http,
                    CallerError.of(
                            new BadRequest(
                                    TOO_LARGE,
                                    "too_large",
                                    "the body must not be longer than "
                                            + limits.maxBodyBytes()
                                            + " bytes")));
            return null;
        }
        return body;
    }

    private void admit(HttpExchange http, Admission admission) throws IOException {
        switch (admission) {
            case BadRequest bad -> {
                entryMetrics.rejected(bad.code());
                CallerReply.sendError(http, CallerError.of(bad));
            }
            case Admission.Admitted admitted -> serve(http, admitted);
        }
    }

    private void serve(HttpExchange http, Admission.Admitted admitted) throws IOException {
        Request request = admitted.request();
        if (draining.get()) {
            refuse(http, Outcome.NotRunReason.DRAINING);
            return;
        }
        int maxOpen =
                request.tier().rank() == 0
                        ? limits.maxOpenRequests()
                        : limits.maxOpenRequests() - limits.urgentReserve();
        if (openRequests.incrementAndGet() > maxOpen) {
            openRequests.decrementAndGet();
            refuse(http, Outcome.NotRunReason.OVERLOAD);
            return;
        }
        CallerExchange exchange = new CallerExchange(request, entryMetrics);
        actions.register(exchange);
        try {
            if (!eventLoop.offer(new HostEvent.RequestArrived(request))) {
                refuse(http, Outcome.NotRunReason.OVERLOAD);
                return;
            }
            entryMetrics.admitted(request);
            new CallerSession(http, exchange, admitted.streaming(), limits, eventLoop::put).serve();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("the host is stopping");
        } finally {
            actions.unregister(request.id());
            openRequests.decrementAndGet();
        }
    }

    static void refuse(HttpExchange http, Outcome.NotRunReason reason) throws IOException {
        CallerReply.sendError(http, CallerError.of(new Outcome.NotRun(reason, RETRY_AFTER_MILLIS)));
    }

    private void readiness(HttpExchange http) throws IOException {
        boolean serving = ready.getAsBoolean() && !draining.get();
        sendText(http, serving ? OK : UNAVAILABLE, serving ? "ready" : "not ready");
    }

    private static void sendText(HttpExchange http, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        http.getResponseHeaders().set("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
        http.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        http.getResponseBody().write(bytes);
    }

    private static CallerError notFound() {
        return CallerError.of(new BadRequest(NOT_FOUND, "not_found", "no such path"));
    }
}
