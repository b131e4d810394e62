package org.orioleshed.store;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.orioleshed.http.HttpClients;
import org.orioleshed.model.Payload;

/**
 * A client of the platform's key-value service over etcd's v3 JSON gateway. Calls are never
 * repeated after they may have been sent: the next address is tried only if connecting failed.
 */
public final class EtcdStore implements Store {
    /**
     * Limits of the client.
     *
     * @param callsPerSecond the sustained rate of calls; opening a watch counts as one call
     * @param burst the number of calls that may be made at once after an idle time
     * @param watchIdleTimeoutMillis the time without a line after which a watch is ended, in
     *     milliseconds
     */
    public record Options(int callsPerSecond, int burst, long watchIdleTimeoutMillis) {
        /** The limits of an entry host. */
        public static final Options DEFAULT = new Options(100, 200, 15_000);
    }

    private enum Kind {
        READ,
        WRITE
    }

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long IDLE_CHECK_INTERVAL_MILLIS = 1_000;
    private static final int HTTP_OK = 200;
    private static final int HTTP_SERVER_ERROR = 500;

    private final List<URI> addresses;
    private final Options options;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().name("store-watch-timer").daemon().factory());
    private final HttpClient client;
    private final TokenBucket rateLimiter;
    private final ReadCoalescer reads = new ReadCoalescer();
    private final Set<EtcdWatch> watches = ConcurrentHashMap.newKeySet();
    private final AtomicInteger preferredIndex = new AtomicInteger();
    private volatile boolean closed;

    /**
     * Creates a client, which connects at its first call.
     *
     * @param addresses base addresses; the next one is tried if connecting to one fails
     * @param options limits of the client
     * @throws IllegalArgumentException if {@code addresses} is empty
     */
    public EtcdStore(List<URI> addresses, Options options) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("addresses of the store must not be empty");
        }
        this.addresses = List.copyOf(addresses);
        this.options = options;
        this.rateLimiter =
                new TokenBucket(options.callsPerSecond(), options.burst(), System.nanoTime());
        this.client = HttpClients.create(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS), executor);
        var unused =
                timer.scheduleAtFixedRate(
                        this::checkIdleWatches,
                        IDLE_CHECK_INTERVAL_MILLIS,
                        IDLE_CHECK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<Result> get(String key, long timeoutMillis) {
        return getNewer(key, StoreRevision.NONE, timeoutMillis);
    }

    @Override
    public CompletableFuture<Result> getNewer(
            String key, StoreRevision afterRevision, long timeoutMillis) {
        String body = EtcdJson.get(key, afterRevision);
        return read(body, () -> body, timeoutMillis);
    }

    @Override
    public CompletableFuture<Result> list(String prefix, long timeoutMillis) {
        return read("list " + prefix, () -> EtcdJson.list(prefix), timeoutMillis);
    }

    @Override
    public CompletableFuture<Result> swap(
            String key,
            StoreRevision expectedRevision,
            Payload value,
            long leaseId,
            long timeoutMillis) {
        String body = EtcdJson.swap(key, expectedRevision, value, leaseId);
        return call("/v3/kv/txn", body, timeoutMillis, Kind.WRITE, EtcdJson::readSwap);
    }

    @Override
    public CompletableFuture<Result> grantLease(long ttlMillis, long timeoutMillis) {
        String body = EtcdJson.grantLease(ttlMillis);
        return call("/v3/lease/grant", body, timeoutMillis, Kind.WRITE, EtcdJson::readLease);
    }

    @Override
    public CompletableFuture<Result> keepAlive(long leaseId, long timeoutMillis) {
        String body = EtcdJson.keepAlive(leaseId);
        return call("/v3/lease/keepalive", body, timeoutMillis, Kind.WRITE, EtcdJson::readLease);
    }

    @Override
    public Watch watch(String prefix, StoreRevision fromRevision, Watcher watcher) {
        EtcdWatch[] self = new EtcdWatch[1];
        EtcdWatch watch = new EtcdWatch(watcher, () -> watches.remove(self[0]), System.nanoTime());
        self[0] = watch;
        watches.add(watch);
        if (!tryTakeCall()) {
            watch.fail("call rate limit exceeded");
            return watch;
        }
        HttpRequest request =
                HttpRequest.newBuilder(address(preferredIndex.get()).resolve("/v3/watch"))
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        EtcdJson.watch(prefix, fromRevision)))
                        .build();
        var unused =
                client.sendAsync(request, HttpResponse.BodyHandlers.fromLineSubscriber(watch))
                        .whenComplete((response, error) -> onWatchEnded(watch, error));
        return watch;
    }

    @Override
    public void close() {
        closed = true;
        List.copyOf(watches).forEach(EtcdWatch::close);
        timer.shutdownNow();
        client.shutdownNow();
        executor.shutdown();
    }

    private void onWatchEnded(EtcdWatch watch, Throwable error) {
        if (error != null && cause(error) instanceof ConnectException) {
            preferNextAddress(preferredIndex.get());
        }
        watch.fail(error == null ? "closed by the store" : String.valueOf(error));
    }

    private void checkIdleWatches() {
        long idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(options.watchIdleTimeoutMillis());
        long nowNanos = System.nanoTime();
        List.copyOf(watches).forEach(watch -> watch.checkIdle(nowNanos, idleTimeoutNanos));
    }

    private CompletableFuture<Result> read(
            String coalescingKey, java.util.function.Supplier<String> body, long timeoutMillis) {
        return reads.read(
                        coalescingKey,
                        () ->
                                call(
                                        "/v3/kv/range",
                                        body.get(),
                                        timeoutMillis,
                                        Kind.READ,
                                        EtcdJson::readEntries))
                .completeOnTimeout(
                        new Result.Unknown("no response before the timeout"),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<Result> call(
            String path,
            String body,
            long timeoutMillis,
            Kind kind,
            Function<String, Result> reader) {
        if (closed) {
            return CompletableFuture.completedFuture(new Result.Unavailable("closed"));
        }
        if (!tryTakeCall()) {
            return CompletableFuture.completedFuture(
                    new Result.Unavailable("call rate limit exceeded"));
        }
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        return attempt(new Call(path, body, deadlineNanos, kind, reader), preferredIndex.get(), 0);
    }

    private record Call(
            String path,
            String body,
            long deadlineNanos,
            Kind kind,
            Function<String, Result> reader) {}

    private record Reply(HttpResponse<String> response, Throwable error) {}

    private CompletableFuture<Result> attempt(Call call, int index, int previousAttempts) {
        long remainingNanos = call.deadlineNanos() - System.nanoTime();
        if (remainingNanos <= 0) {
            return CompletableFuture.completedFuture(
                    new Result.Unavailable("not connected before the timeout"));
        }
        HttpRequest request =
                HttpRequest.newBuilder(address(index).resolve(call.path()))
                        .timeout(Duration.ofNanos(remainingNanos))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(call.body()))
                        .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle(Reply::new)
                .thenCompose(reply -> onReply(call, index, previousAttempts, reply));
    }

    private CompletableFuture<Result> onReply(
            Call call, int index, int previousAttempts, Reply reply) {
        if (reply.error() == null) {
            return CompletableFuture.completedFuture(read(call, reply.response()));
        }
        Throwable cause = cause(reply.error());
        if (!neverSent(cause)) {
            return CompletableFuture.completedFuture(new Result.Unknown(String.valueOf(cause)));
        }
        preferNextAddress(index);
        if (previousAttempts + 1 < addresses.size()) {
            return attempt(call, index + 1, previousAttempts + 1);
        }
        return CompletableFuture.completedFuture(new Result.Unavailable(String.valueOf(cause)));
    }

    private static Result read(Call call, HttpResponse<String> response) {
        if (response.statusCode() == HTTP_OK) {
            return call.reader().apply(response.body());
        }
        String detail = "status " + response.statusCode() + ": " + response.body();
        boolean mayHaveTakenEffect =
                call.kind() == Kind.WRITE && response.statusCode() >= HTTP_SERVER_ERROR;
        return mayHaveTakenEffect ? new Result.Unknown(detail) : new Result.Unavailable(detail);
    }

    private static boolean neverSent(Throwable cause) {
        return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    }

    private static Throwable cause(Throwable error) {
        Throwable cause = error;
        while (cause.getCause() != null
                && (cause instanceof CompletionException || isConnectErrorWrapper(cause))) {
            cause = cause.getCause();
        }
        return cause;
    }

    private static boolean isConnectErrorWrapper(Throwable cause) {
        return cause.getClass().equals(IOException.class)
                && cause.getCause() instanceof ConnectException;
    }

    private void preferNextAddress(int failedIndex) {
        preferredIndex.compareAndSet(failedIndex, failedIndex + 1);
    }

    private URI address(int index) {
        return addresses.get(Math.floorMod(index, addresses.size()));
    }

    private boolean tryTakeCall() {
        synchronized (rateLimiter) {
            return rateLimiter.tryTake(System.nanoTime());
        }
    }
}
