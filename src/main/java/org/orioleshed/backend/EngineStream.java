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
 * The stream of one run on an engine, read on its own virtual thread. Ends with exactly one {@link
 * HostEvent.RunEnded}.
 */
final class EngineStream implements Runnable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int MAX_ERROR_DETAIL_BYTES = 2_000;

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
    private volatile long lastReadNanos = System.nanoTime();
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

    /** Cancels the run: the reader thread cancels it at the engine and reports its end. */
    void cancel() {
        cancelled.set(true);
        pause(false);
        closeBody();
    }

    /** Pauses or resumes reading. */
    void pause(boolean newPaused) {
        lock.lock();
        try {
            paused = newPaused;
            lastReadNanos = System.nanoTime();
            resumed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Closes the stream if it has been idle for too long, which unblocks the reader thread. */
    void closeIfIdle(long nowNanos) {
        long idleMillis = (nowNanos - lastReadNanos) / 1_000_000;
        if (reading && idleMillis > limits.idleTimeoutMillis()) {
            closeBody();
        }
    }

    private RunEnd read() {
        try {
            HttpResponse<InputStream> response =
                    client.send(request, HttpResponse.BodyHandlers.ofInputStream());
            body = response.body();
            lastReadNanos = System.nanoTime();
            if (response.statusCode() != STATUS_OK) {
                return engineError(response);
            }
            if (cancelled.get()) {
                return confirmCancel();
            }
            listener.on(new HostEvent.RunAccepted(run, server.id()));
            reading = true;
            return readEvents(new LineReader(body, limits.maxLineBytes()));
        } catch (ConnectException e) {
            // Nothing listens: the run never started, and a crashed engine has no runs.
            return cancelled.get() ? new RunEnd.Cancelled(0) : new RunEnd.Broken(true, true);
        } catch (HttpConnectTimeoutException e) {
            return new RunEnd.Broken(false, true);
        } catch (IOException e) {
            return cancelled.get() ? confirmCancel() : cancelAfterBreak();
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
            lastReadNanos = System.nanoTime();
            if (line.isEmpty()) {
                return cancelled.get() ? confirmCancel() : cancelAfterBreak();
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

    private RunEnd engineError(HttpResponse<InputStream> response) throws IOException {
        String detail =
                new String(
                        response.body().readNBytes(MAX_ERROR_DETAIL_BYTES),
                        java.nio.charset.StandardCharsets.UTF_8);
        int status = response.statusCode();
        boolean retryable = status >= STATUS_SERVER_ERROR || status == STATUS_TOO_MANY_REQUESTS;
        return new RunEnd.EngineError(retryable, "status " + status + ": " + detail);
    }

    private RunEnd confirmCancel() {
        return switch (canceller.cancel(run, server)) {
            case EngineCanceller.Result.Ended ended -> new RunEnd.Cancelled(ended.prefillTokens());
            case EngineCanceller.Result.Down down -> new RunEnd.Cancelled(0);
            case EngineCanceller.Result.Unconfirmed unconfirmed -> new RunEnd.Broken(false, false);
        };
    }

    private RunEnd cancelAfterBreak() {
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
            // The stream is no longer used, so a failed close has no effect.
        }
    }
}
