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

/** The admin API of an entry host, over HTTP. */
public final class AdminServer implements AutoCloseable {
    /** What all paths start with. */
    public static final String PREFIX = "/v1/admin/";

    /** The longest body, in bytes. */
    public static final int MAX_BODY_BYTES = 1 << 20;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_CALLS = 64;
    private static final int BACKLOG = 64;
    private static final long BACKEND_MILLIS = 10_000;
    private static final long WATCH_MILLIS = 40_000;
    private static final long CLOSE_MILLIS = 500;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final Operators operators;
    private final AdminRoutes routes;
    private final Semaphore places = new Semaphore(MAX_CALLS);

    private AdminServer(HttpServer server, List<Operator> operators, AdminBackend backend) {
        this.server = server;
        this.operators = new Operators(operators);
        this.routes = new AdminRoutes(backend);
    }

    /**
     * Starts to serve.
     *
     * @param address where to listen; port zero takes any free one
     * @param operators who may call
     * @param backend what to call
     * @throws IOException when the address cannot be listened on
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

    /** Returns the address listened on. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    /**
     * Stops listening, once the calls that wait are answered or had a moment for it. Whoever holds
     * their answers is to be stopped before.
     */
    @Override
    public void close() {
        boolean answered = awaitCalls();
        server.stop(0);
        threads.shutdownNow();
        if (answered) {
            places.release(MAX_CALLS);
        }
    }

    private boolean awaitCalls() {
        try {
            return places.tryAcquire(MAX_CALLS, CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (!places.tryAcquire()) {
            try (exchange) {
                send(exchange, AdminJson.error(AdminError.STORE_AWAY, "too many calls at once"));
            }
            return;
        }
        try (exchange) {
            send(exchange, answer(exchange));
        } finally {
            places.release();
        }
    }

    private AdminJson.Response answer(HttpExchange exchange) throws IOException {
        try {
            Operator operator =
                    operators
                            .find(exchange.getRequestHeaders().getFirst("Authorization"))
                            .orElseThrow(
                                    () ->
                                            new AdminException(
                                                    AdminError.UNAUTHORIZED,
                                                    "an operator's key is needed"));
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
                    operator.name(), call.method(), oneLine(String.join("/", call.path())));
            throw new AdminException(AdminError.FORBIDDEN, "the role does not allow changes");
        }
    }

    private static byte[] body(HttpExchange exchange) throws IOException, AdminException {
        byte[] bytes = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1);
        if (bytes.length > MAX_BODY_BYTES) {
            throw new AdminException(
                    AdminError.TOO_LARGE, "body longer than " + MAX_BODY_BYTES + " bytes");
        }
        return bytes;
    }

    private static AdminJson.Response finish(AdminRoutes.Answer answer, Operator operator) {
        return switch (answer) {
            case AdminRoutes.Answer.Watch watch -> watch(watch);
            case AdminRoutes.Answer.Reply reply -> {
                AdminJson.Response response = reply(reply);
                if (!reply.audit().isEmpty()) {
                    logger.atInfo().log(
                            "event=admin_change operator=%s change=%s status=%d",
                            operator.name(), oneLine(reply.audit()), response.status());
                }
                yield response;
            }
        };
    }

    private static String oneLine(String text) {
        return CharMatcher.javaIsoControl().replaceFrom(text, '?');
    }

    private static AdminJson.Response watch(AdminRoutes.Answer.Watch watch) {
        try {
            return AdminJson.notices(wait(watch.future(), WATCH_MILLIS));
        } catch (AdminException e) {
            return AdminJson.error(e.error(), e.getMessage());
        }
    }

    private static AdminJson.Response reply(AdminRoutes.Answer.Reply reply) {
        try {
            return AdminJson.of(wait(reply.future(), BACKEND_MILLIS));
        } catch (AdminException e) {
            return AdminJson.error(e.error(), e.getMessage());
        }
    }

    private static <T> T wait(CompletableFuture<T> future, long millis) throws AdminException {
        try {
            return future.get(millis, TimeUnit.MILLISECONDS);
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
