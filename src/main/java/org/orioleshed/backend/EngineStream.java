package org.orioleshed.backend;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.RunId;
import org.orioleshed.routing.RunEnd;

/**
 * One run on an engine, read by a virtual thread of its own. Ends in exactly one {@link
 * HostEvent.RunEnded}.
 */
final class EngineStream implements Runnable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_TOO_MANY = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int MAX_ERROR_BYTES = 2_000;

    private final RunId run;
    private final BackendServer server;
    private final HttpRequest request;
    private final HttpClient client;
    private final BackendLimits limits;
    private final EngineCanceller canceller;
    private final BackendListener listener;
    private final AtomicBoolean cancelled = new AtomicBoolean();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition resumed = lock.newCondition();
    private boolean paused;
    private volatile long lastByteNanos = System.nanoTime();
    private volatile boolean reading;
    private volatile InputStream body;
    private int nextToken;

    EngineStream(
            RunId run,
            BackendServer server,
            HttpRequest request,
            int resumeFromToken,
            HttpClient client,
            BackendLimits limits,
            EngineCanceller canceller,
            BackendListener listener) {
        this.run = run;
        this.server = server;
        this.request = request;
        this.nextToken = resumeFromToken;
        this.client = client;
        this.limits = limits;
        this.canceller = canceller;
        this.listener = listener;
    }

    @Override
    public void run() {
        RunEnd end = read();
        listener.on(new HostEvent.RunEnded(run, server.id(), end));
    }

    /** Ends the run: its reader confirms the cancel with the engine and reports the end. */
    void cancel() {
        cancelled.set(true);
        pause(false);
        closeBody();
    }

    /** Stops reading, or goes on. */
    void pause(boolean stop) {
        lock.lock();
        try {
            paused = stop;
            lastByteNanos = System.nanoTime();
            resumed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Closes the stream when it has been silent for too long, which ends the reader's wait. */
    void closeIfSilent(long nowNanos) {
        long silentMillis = (nowNanos - lastByteNanos) / 1_000_000;
        if (reading && silentMillis > limits.silenceMillis()) {
            closeBody();
        }
    }

    private RunEnd read() {
        try {
            HttpResponse<InputStream> response =
                    client.send(request, HttpResponse.BodyHandlers.ofInputStream());
            body = response.body();
            lastByteNanos = System.nanoTime();
            if (response.statusCode() != STATUS_OK) {
                return refused(response);
            }
            if (cancelled.get()) {
                return endByCancel();
            }
            listener.on(new HostEvent.RunAccepted(run, server.id()));
            reading = true;
            return readEvents(new LineReader(body, limits.maxLineBytes()));
        } catch (ConnectException e) {
            // Nothing listens: this run was never there, and an engine that died has no runs.
            return cancelled.get() ? new RunEnd.Cancelled(0) : new RunEnd.Broken(true, true);
        } catch (HttpConnectTimeoutException e) {
            return new RunEnd.Broken(false, true);
        } catch (IOException e) {
            return cancelled.get() ? endByCancel() : broken();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new RunEnd.Broken(false, false);
        } finally {
            reading = false;
            closeBody();
        }
    }

    private RunEnd readEvents(LineReader lines) throws IOException, InterruptedException {
        while (true) {
            awaitResume();
            Optional<String> line = lines.next();
            lastByteNanos = System.nanoTime();
            if (line.isEmpty()) {
                return cancelled.get() ? endByCancel() : broken();
            }
            switch (StreamParser.parse(line.get())) {
                case StreamEvent.Idle idle -> {}
                case StreamEvent.Tokens tokens -> deliver(tokens);
                case StreamEvent.Stop stop -> {
                    return new RunEnd.Finished(nextToken);
                }
                case StreamEvent.Failure failure -> {
                    return new RunEnd.EngineError(true, failure.detail());
                }
                case StreamEvent.Malformed malformed -> throw new IOException(malformed.detail());
            }
        }
    }

    private void deliver(StreamEvent.Tokens tokens) {
        nextToken = tokens.offset() + tokens.count();
        listener.on(
                new HostEvent.RunTokens(
                        run, server.id(), tokens.offset(), tokens.count(), tokens.text()));
    }

    private void awaitResume() throws InterruptedException {
        lock.lock();
        try {
            while (paused) {
                reading = false;
                resumed.await();
            }
            reading = true;
        } finally {
            lock.unlock();
        }
    }

    private RunEnd refused(HttpResponse<InputStream> response) throws IOException {
        String detail =
                new String(
                        response.body().readNBytes(MAX_ERROR_BYTES),
                        java.nio.charset.StandardCharsets.UTF_8);
        int status = response.statusCode();
        boolean retryable = status >= STATUS_SERVER_ERROR || status == STATUS_TOO_MANY;
        return new RunEnd.EngineError(retryable, "status " + status + ": " + detail);
    }

    private RunEnd endByCancel() {
        return switch (canceller.cancel(run, server)) {
            case EngineCanceller.Result.Ended ended -> new RunEnd.Cancelled(ended.prefillTokens());
            case EngineCanceller.Result.Down down -> new RunEnd.Cancelled(0);
            case EngineCanceller.Result.Unconfirmed unconfirmed -> new RunEnd.Broken(false, false);
        };
    }

    private RunEnd broken() {
        return switch (canceller.cancel(run, server)) {
            case EngineCanceller.Result.Ended ended -> new RunEnd.Broken(false, true);
            case EngineCanceller.Result.Down down -> new RunEnd.Broken(true, true);
            case EngineCanceller.Result.Unconfirmed unconfirmed -> new RunEnd.Broken(false, false);
        };
    }

    private void closeBody() {
        InputStream open = body;
        if (open == null) {
            return;
        }
        try {
            open.close();
        } catch (IOException e) {
            // The stream is given up either way.
        }
    }
}
