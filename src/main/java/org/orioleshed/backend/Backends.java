package org.orioleshed.backend;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.host.HostEvent;
import org.orioleshed.http.HttpClients;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RunId;
import org.orioleshed.routing.RunEnd;

/**
 * Starts and cancels runs on backend servers, calls plain services, and reports the resulting
 * events.
 *
 * <p>A successful {@code backends.start(run, server, body, 0)} is followed by {@link
 * HostEvent.RunAccepted} and {@link HostEvent.RunTokens}; every start ends with exactly one {@link
 * HostEvent.RunEnded}.
 */
public final class Backends implements AutoCloseable {
    private static final long IDLE_CHECK_INTERVAL_MILLIS = 250;

    private final BackendLimits limits;
    private final BackendListener listener;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService watchdog =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().name("backend-watchdog").daemon().factory());
    private final HttpClient client;
    private final EngineCanceller canceller;
    private final Map<RunId, EngineStream> streams = new ConcurrentHashMap<>();

    /** Creates a client that reports events to {@code listener}. */
    public Backends(BackendLimits limits, BackendListener listener) {
        this.limits = limits;
        this.listener = listener;
        this.client = HttpClients.create(Duration.ofMillis(limits.connectTimeoutMillis()), threads);
        this.canceller = new EngineCanceller(client, limits);
        var unused =
                watchdog.scheduleWithFixedDelay(
                        this::closeIdleStreams,
                        IDLE_CHECK_INTERVAL_MILLIS,
                        IDLE_CHECK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a run on an engine; does nothing if a stream of the run is open.
     *
     * @param body the request body, passed to the engine
     * @param resumeFromToken the offset of the first token to generate; zero for a new answer
     */
    public void start(RunId run, BackendServer server, Payload body, int resumeFromToken) {
        HttpRequest request =
                HttpRequest.newBuilder(server.address().resolve("/v1/chat/completions"))
                        .timeout(Duration.ofMillis(limits.acceptTimeoutMillis()))
                        .header("Content-Type", "application/json")
                        .header("X-Run-Id", run.toString())
                        .header("X-Resume-From", Integer.toString(resumeFromToken))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body.toBytes()))
                        .build();
        EngineStream stream =
                new EngineStream(
                        run,
                        server,
                        request,
                        resumeFromToken,
                        client,
                        limits,
                        canceller,
                        this::report);
        if (streams.putIfAbsent(run, stream) == null) {
            threads.execute(stream);
        }
    }

    /**
     * Cancels a run, including one that another host started; ends with {@link HostEvent.RunEnded}.
     */
    public void cancel(RunId run, BackendServer server) {
        EngineStream stream = streams.get(run);
        if (stream != null) {
            stream.cancel();
            return;
        }
        threads.execute(
                () ->
                        report(
                                new HostEvent.RunEnded(
                                        run, server.id(), cancelWithoutStream(run, server))));
    }

    private RunEnd cancelWithoutStream(RunId run, BackendServer server) {
        return switch (canceller.cancel(run, server)) {
            case EngineCanceller.Result.Ended ended -> new RunEnd.Cancelled(ended.prefillTokens());
            case EngineCanceller.Result.Down down -> new RunEnd.Cancelled(0);
            case EngineCanceller.Result.Unconfirmed unconfirmed -> new RunEnd.Broken(false, false);
        };
    }

    /**
     * Pauses or resumes reading the stream of a run.
     *
     * @param paused true to pause, false to resume
     */
    public void pause(RunId run, boolean paused) {
        EngineStream stream = streams.get(run);
        if (stream != null) {
            stream.pause(paused);
        }
    }

    /**
     * Calls a plain service once, without retries; ends with {@link HostEvent.CallEnded}.
     *
     * @param call the name of the call, which becomes part of the URL path
     * @param key the request key, passed to the service
     * @param timeoutMillis how long to wait for the response, in milliseconds
     */
    public void call(
            RunId run,
            BackendServer server,
            String call,
            String key,
            Payload body,
            long timeoutMillis) {
        HttpRequest request =
                HttpRequest.newBuilder(server.address().resolve("/v1/calls/" + call))
                        .timeout(Duration.ofMillis(Math.max(1, timeoutMillis)))
                        .header("Content-Type", "application/json")
                        .header("Connection", "close")
                        .header("X-Run-Id", run.toString())
                        .header("X-Request-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body.toBytes()))
                        .build();
        threads.execute(
                () -> listener.on(new HostEvent.CallEnded(run, server.id(), send(request))));
    }

    private HostEvent.CallEnd send(HttpRequest request) {
        try {
            HttpResponse<byte[]> response =
                    client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (!CallResponse.isWhole(response)) {
                return new HostEvent.CallEnd.Broken("the end of the answer is not stated");
            }
            return new HostEvent.CallEnd.Answered(
                    response.statusCode(), Payload.of(response.body()));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new HostEvent.CallEnd.NeverSent("no connection");
        } catch (IOException e) {
            return new HostEvent.CallEnd.Broken(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new HostEvent.CallEnd.Broken("interrupted");
        }
    }

    /** Returns the number of runs whose streams are open. */
    public int openStreams() {
        return streams.size();
    }

    private void report(HostEvent event) {
        if (event instanceof HostEvent.RunEnded ended) {
            streams.remove(ended.run());
        }
        listener.on(event);
    }

    private void closeIdleStreams() {
        long nowNanos = System.nanoTime();
        streams.values().forEach(stream -> stream.closeIfIdle(nowNanos));
    }

    @Override
    public void close() {
        watchdog.shutdownNow();
        threads.shutdownNow();
        client.shutdownNow();
    }
}
