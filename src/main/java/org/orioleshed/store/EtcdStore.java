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
import org.orioleshed.model.Payload;

/**
 * The platform's key-value service over etcd's v3 JSON gateway. Never repeats a write by itself: a
 * call moves on to the next address only when the connection could not be made.
 */
public final class EtcdStore implements Store {
    /**
     * Bounds on what the client asks of the store.
     *
     * @param callsPerSecond the lasting rate of calls, a watch counted as one
     * @param burst how many calls may be made at once after a quiet time
     * @param watchSilenceMillis a watch that says nothing for so long is broken off
     */
    public record Options(int callsPerSecond, int burst, long watchSilenceMillis) {
        /** The bounds of an entry host. */
        public static final Options DEFAULT = new Options(100, 200, 15_000);
    }

    private enum Kind {
        READ,
        WRITE
    }

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long SILENCE_CHECK_MILLIS = 1_000;
    private static final int HTTP_OK = 200;
    private static final int HTTP_SERVER_ERROR = 500;

    private final List<URI> addresses;
    private final Options options;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().name("store-watch-timer").daemon().factory());
    private final HttpClient client;
    private final CallBudget budget;
    private final SharedReads reads = new SharedReads();
    private final Set<EtcdWatch> watches = ConcurrentHashMap.newKeySet();
    private final AtomicInteger preferred = new AtomicInteger();
    private volatile boolean closed;

    /**
     * Makes a client; connects only when called.
     *
     * @param addresses base addresses, tried one after another
     * @param options bounds on calls
     */
    public EtcdStore(List<URI> addresses, Options options) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("at least one address must be given");
        }
        this.addresses = List.copyOf(addresses);
        this.options = options;
        this.budget = new CallBudget(options.callsPerSecond(), options.burst(), System.nanoTime());
        this.client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .followRedirects(HttpClient.Redirect.NEVER)
                        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
                        .executor(executor)
                        .build();
        var unused =
                timer.scheduleAtFixedRate(
                        this::checkSilence,
                        SILENCE_CHECK_MILLIS,
                        SILENCE_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<Result> get(String key, long timeoutMillis) {
        return getNewer(key, 0, timeoutMillis);
    }

    @Override
    public CompletableFuture<Result> getNewer(String key, long afterRevision, long timeoutMillis) {
        String body = EtcdJson.get(key, afterRevision);
        return read(body, () -> body, timeoutMillis);
    }

    @Override
    public CompletableFuture<Result> list(String prefix, long timeoutMillis) {
        return read("list " + prefix, () -> EtcdJson.list(prefix), timeoutMillis);
    }

    @Override
    public CompletableFuture<Result> swap(
            String key, long expectedRevision, Payload value, long leaseId, long timeoutMillis) {
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
    public Watch watch(String prefix, long fromRevision, Watcher watcher) {
        EtcdWatch[] self = new EtcdWatch[1];
        EtcdWatch watch = new EtcdWatch(watcher, () -> watches.remove(self[0]), System.nanoTime());
        self[0] = watch;
        watches.add(watch);
        if (!takeCall()) {
            watch.breakOff("call budget spent");
            return watch;
        }
        HttpRequest request =
                HttpRequest.newBuilder(address(preferred.get()).resolve("/v3/watch"))
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        EtcdJson.watch(prefix, fromRevision)))
                        .build();
        var unused =
                client.sendAsync(request, HttpResponse.BodyHandlers.fromLineSubscriber(watch))
                        .whenComplete((response, problem) -> watchEnded(watch, problem));
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

    private void watchEnded(EtcdWatch watch, Throwable problem) {
        if (problem != null && cause(problem) instanceof ConnectException) {
            preferNext(preferred.get());
        }
        watch.breakOff(problem == null ? "closed by the store" : String.valueOf(problem));
    }

    private void checkSilence() {
        long silenceNanos = TimeUnit.MILLISECONDS.toNanos(options.watchSilenceMillis());
        long nowNanos = System.nanoTime();
        List.copyOf(watches).forEach(watch -> watch.checkSilence(nowNanos, silenceNanos));
    }

    private CompletableFuture<Result> read(
            String shareKey, java.util.function.Supplier<String> body, long timeoutMillis) {
        return reads.read(
                        shareKey,
                        () ->
                                call(
                                        "/v3/kv/range",
                                        body.get(),
                                        timeoutMillis,
                                        Kind.READ,
                                        EtcdJson::readEntries))
                .completeOnTimeout(
                        new Result.Unknown("no answer in time"),
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
            return CompletableFuture.completedFuture(new Result.Away("closed"));
        }
        if (!takeCall()) {
            return CompletableFuture.completedFuture(new Result.Away("call budget spent"));
        }
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        return attempt(new Call(path, body, deadlineNanos, kind, reader), preferred.get(), 0);
    }

    private record Call(
            String path,
            String body,
            long deadlineNanos,
            Kind kind,
            Function<String, Result> reader) {}

    private record Reply(HttpResponse<String> response, Throwable problem) {}

    private CompletableFuture<Result> attempt(Call call, int index, int tried) {
        long leftNanos = call.deadlineNanos() - System.nanoTime();
        if (leftNanos <= 0) {
            return CompletableFuture.completedFuture(new Result.Away("no connection in time"));
        }
        HttpRequest request =
                HttpRequest.newBuilder(address(index).resolve(call.path()))
                        .timeout(Duration.ofNanos(leftNanos))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(call.body()))
                        .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle(Reply::new)
                .thenCompose(reply -> settle(call, index, tried, reply));
    }

    private CompletableFuture<Result> settle(Call call, int index, int tried, Reply reply) {
        if (reply.problem() == null) {
            return CompletableFuture.completedFuture(read(call, reply.response()));
        }
        Throwable cause = cause(reply.problem());
        if (!neverSent(cause)) {
            return CompletableFuture.completedFuture(new Result.Unknown(String.valueOf(cause)));
        }
        preferNext(index);
        if (tried + 1 < addresses.size()) {
            return attempt(call, index + 1, tried + 1);
        }
        return CompletableFuture.completedFuture(new Result.Away(String.valueOf(cause)));
    }

    private static Result read(Call call, HttpResponse<String> response) {
        if (response.statusCode() == HTTP_OK) {
            return call.reader().apply(response.body());
        }
        String detail = "status " + response.statusCode() + ": " + response.body();
        boolean mayHaveRun =
                call.kind() == Kind.WRITE && response.statusCode() >= HTTP_SERVER_ERROR;
        return mayHaveRun ? new Result.Unknown(detail) : new Result.Away(detail);
    }

    private static boolean neverSent(Throwable cause) {
        return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    }

    private static Throwable cause(Throwable problem) {
        Throwable cause = problem;
        while (cause.getCause() != null
                && (cause instanceof CompletionException || isPlainWrapper(cause))) {
            cause = cause.getCause();
        }
        return cause;
    }

    private static boolean isPlainWrapper(Throwable cause) {
        return cause.getClass().equals(IOException.class)
                && cause.getCause() instanceof ConnectException;
    }

    private void preferNext(int failed) {
        preferred.compareAndSet(failed, failed + 1);
    }

    private URI address(int index) {
        return addresses.get(Math.floorMod(index, addresses.size()));
    }

    private boolean takeCall() {
        synchronized (budget) {
            return budget.take(System.nanoTime());
        }
    }
}
