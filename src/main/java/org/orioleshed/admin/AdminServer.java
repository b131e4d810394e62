package org.orioleshed.admin;

import com.google.common.base.CharMatcher;
import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orioleshed.settings.Operator;

/** The HTTP server of the admin API of an entry host. */
public final class AdminServer implements AutoCloseable {
    /** The prefix of all paths. */
    public static final String PREFIX = "/v1/admin/";

    /** The longest allowed request body, in bytes. */
    public static final int MAX_BODY_BYTES = 1 << 20;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_CONCURRENT_CALLS = 64;
    private static final int BACKLOG = 64;
    private static final long BACKEND_TIMEOUT_MILLIS = 10_000;
    private static final long WATCH_TIMEOUT_MILLIS = 40_000;
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Operators operators;
    private final AdminRoutes routes;
    private final Semaphore callSlots = new Semaphore(MAX_CONCURRENT_CALLS);

    private AdminServer(HttpServer server, List<Operator> operators, AdminBackend backend) {
        this.server = server;
        this.operators = new Operators(operators);
        this.routes = new AdminRoutes(backend);
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on; port zero selects any free port
     * @param operators the operators that may call the API
     * @param backend the operations to expose
     * @throws IOException if the server cannot listen on the address
     */
    public static AdminServer start(
            InetSocketAddress address, List<Operator> operators, AdminBackend backend)
            throws IOException {
        if (address == null || operators == null || backend == null) {
            throw new IllegalArgumentException("address, operators and backend must be given");
        }
        HttpServer http = HttpServer.create(address, BACKLOG);
        AdminServer admin = new AdminServer(http, operators, backend);
        http.createContext("/", admin::handle);
        http.setExecutor(admin.threads);
        http.start();
        return admin;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    /**
     * Stops the server after the open calls are answered, or after a short timeout. The components
     * that complete the backend's futures must be stopped first.
     */
    @Override
    public void close() {
        boolean answered = awaitCalls();
        server.stop(0);
        threads.shutdownNow();
        if (answered) {
            callSlots.release(MAX_CONCURRENT_CALLS);
        }
    }

    private boolean awaitCalls() {
        try {
            return callSlots.tryAcquire(
                    MAX_CONCURRENT_CALLS, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (!callSlots.tryAcquire()) {
            try (exchange) {
                send(
                        exchange,
                        AdminJson.error(
                                AdminError.STORE_AWAY,
                                "too many concurrent calls; the limit is " + MAX_CONCURRENT_CALLS));
            }
            return;
        }
        try (exchange) {
            send(exchange, respond(exchange));
        } finally {
            callSlots.release();
        }
    }

    private AdminJson.Response respond(HttpExchange exchange) throws IOException {
        try {
            Operator operator =
                    operators
                            .find(exchange.getRequestHeaders().getFirst("Authorization"))
                            .orElseThrow(
                                    () ->
                                            new AdminException(
                                                    AdminError.UNAUTHORIZED,
                                                    "Authorization must carry a known operator key"));
            String path = exchange.getRequestURI().getRawPath();
            if (!path.startsWith(PREFIX)) {
                throw new AdminException(AdminError.NOT_FOUND, "no such path: " + path);
            }
            AdminCall call =
                    AdminCall.of(
                            exchange.getRequestMethod(),
                            path.substring(PREFIX.length()),
                            exchange.getRequestURI().getRawQuery(),
                            body(exchange));
            requireRole(call, operator);
            return finish(routes.call(call, operator), operator);
        } catch (AdminException e) {
            return AdminJson.error(e.error(), e.getMessage());
        } catch (IllegalArgumentException e) {
            return AdminJson.error(AdminError.BAD_INPUT, String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log("event=admin_failed");
            return AdminJson.error(AdminError.INTERNAL, "the entry host failed");
        }
    }

    private static void requireRole(AdminCall call, Operator operator) throws AdminException {
        if (AdminRoutes.isChange(call) && operator.role() != Operator.Role.CHANGE) {
            logger.atWarning().log(
                    "event=admin_denied operator=%s method=%s path=%s",
                    operator.name(), call.method(), replaceControls(String.join("/", call.path())));
            throw new AdminException(
                    AdminError.FORBIDDEN, "the operator's role does not allow changes");
        }
    }

    private static byte[] body(HttpExchange exchange) throws IOException, AdminException {
        byte[] bytes = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1);
        if (bytes.length > MAX_BODY_BYTES) {
            throw new AdminException(
                    AdminError.TOO_LARGE,
                    "body must not be longer than " + MAX_BODY_BYTES + " bytes");
        }
        return bytes;
    }

    private static AdminJson.Response finish(AdminRoutes.Result result, Operator operator) {
        return switch (result) {
            case AdminRoutes.Result.Watch watch -> watch(watch);
            case AdminRoutes.Result.Reply reply -> {
                AdminJson.Response response = reply(reply);
                if (!reply.audit().isEmpty()) {
                    logger.atInfo().log(
                            "event=admin_change operator=%s change=%s status=%d",
                            operator.name(), replaceControls(reply.audit()), response.status());
                }
                yield response;
            }
        };
    }

    private static String replaceControls(String text) {
        return CharMatcher.javaIsoControl().replaceFrom(text, '?');
    }

    private static AdminJson.Response watch(AdminRoutes.Result.Watch watch) {
        try {
            return AdminJson.notices(await(watch.future(), WATCH_TIMEOUT_MILLIS));
        } catch (AdminException e) {
            return AdminJson.error(e.error(), e.getMessage());
        }
    }

    private static AdminJson.Response reply(AdminRoutes.Result.Reply reply) {
        try {
            return AdminJson.of(await(reply.future(), BACKEND_TIMEOUT_MILLIS));
        } catch (AdminException e) {
            return AdminJson.error(e.error(), e.getMessage());
        }
    }

    private static <T> T await(CompletableFuture<T> future, long timeoutMillis)
            throws AdminException {
        try {
            return future.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AdminException(AdminError.INTERNAL, "the entry host is shutting down");
        } catch (ExecutionException e) {
            logger.atWarning().withCause(e.getCause()).log("event=admin_failed");
            throw new AdminException(AdminError.INTERNAL, "the entry host failed");
        } catch (TimeoutException e) {
            throw new AdminException(
                    AdminError.UNKNOWN, "no answer in time; a change may still take effect");
        }
    }

    private static void send(HttpExchange exchange, AdminJson.Response response)
            throws IOException {
        byte[] bytes = response.body().toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Cache-Control", "no-store");
        exchange.sendResponseHeaders(response.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
