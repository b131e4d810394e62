package org.orioleshed.load;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpConnectTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.orioleshed.load.FleetLayout.Host;
import org.orioleshed.load.Result.End;
import org.orioleshed.load.Result.Send;

/**
 * Sends one request, retries it under the same idempotency key where the reply allows a retry, and
 * records the outcome. Confined to one thread.
 */
final class Caller {
    private static final int MAX_SENDS = 4;
    private static final int MAX_CONNECT_ATTEMPTS = 8;
    private static final long GRACE_AFTER_DEADLINE_MILLIS = 3_000;
    private static final long RETRY_DELAY_AFTER_BREAK_MILLIS = 100;
    private static final long MIN_REMAINING_MILLIS = 50;

    private final Http http;
    private final Balancer balancer;
    private final LatencyHistograms tokenGaps;
    private final ScheduledExecutorService scheduler;
    private final PlannedRequest request;
    private final long arrivalNanos;
    private final List<Send> sends = new ArrayList<>();
    private long firstTokenMillis = -1;
    private boolean correct = true;

    Caller(
            Http http,
            Balancer balancer,
            LatencyHistograms tokenGaps,
            ScheduledExecutorService scheduler,
            PlannedRequest request,
            long arrivalNanos) {
        this.http = http;
        this.balancer = balancer;
        this.tokenGaps = tokenGaps;
        this.scheduler = scheduler;
        this.request = request;
        this.arrivalNanos = arrivalNanos;
    }

    Result call() throws InterruptedException {
        End end = End.LOST;
        while (sends.size() < MAX_SENDS && remainingMillis() > MIN_REMAINING_MILLIS) {
            Reply reply = send();
            end = outcome(reply, end);
            long retryDelayMillis = retryDelayMillis(reply);
            if (retryDelayMillis < 0
                    || retryDelayMillis + MIN_REMAINING_MILLIS > remainingMillis()) {
                break;
            }
            Thread.sleep(retryDelayMillis);
        }
        boolean inTime = end == End.ANSWERED && remainingMillis() >= 0 && correct;
        return new Result(request, end, inTime, correct, firstTokenMillis, sends);
    }

    /** Returns the delay before the next send in milliseconds; negative for no retry. */
    private long retryDelayMillis(Reply reply) {
        return switch (reply) {
            case Reply.Complete complete -> -1;
            case Reply.TimedOut timedOut -> -1;
            case Reply.Broken broken -> RETRY_DELAY_AFTER_BREAK_MILLIS;
            case Reply.ErrorReply error ->
                    error.executionStatus().equals("failed") ? -1 : error.retryAfterMillis();
        };
    }

    private static End outcome(Reply reply, End previous) {
        return switch (reply) {
            case Reply.Complete complete -> End.ANSWERED;
            case Reply.TimedOut timedOut -> End.LOST;
            case Reply.Broken broken -> previous == End.IN_DOUBT ? previous : End.LOST;
            case Reply.ErrorReply error ->
                    switch (error.executionStatus()) {
                        case "not_run" -> End.NOT_RUN;
                        case "in_doubt" -> End.IN_DOUBT;
                        default -> End.FAILED;
                    };
        };
    }

    private Reply send() throws InterruptedException {
        long startMillis = System.currentTimeMillis();
        RequestSender sender = new RequestSender(http, request, tokenGaps);
        Host host = balancer.next();
        Reply reply = new Reply.Broken("no host can be reached");
        for (int attempt = 0; attempt < MAX_CONNECT_ATTEMPTS; attempt++) {
            try {
                reply = sendWithTimeout(sender, host);
                break;
            } catch (ConnectException | HttpConnectTimeoutException e) {
                host = balancer.next();
            }
        }
        if (sender.firstByteNanos() != 0 && firstTokenMillis < 0) {
            firstTokenMillis =
                    TimeUnit.NANOSECONDS.toMillis(sender.firstByteNanos() - arrivalNanos);
        }
        correct &= !(reply instanceof Reply.Complete complete) || complete.correct();
        sends.add(record(host, startMillis, reply));
        return reply;
    }

    private static Send record(Host host, long startMillis, Reply reply) {
        String code =
                switch (reply) {
                    case Reply.ErrorReply error -> error.code();
                    case Reply.Broken broken -> broken.detail();
                    default -> "";
                };
        return new Send(host.id(), startMillis, System.currentTimeMillis(), reply.label(), code);
    }

    private Reply sendWithTimeout(RequestSender sender, Host host)
            throws ConnectException, HttpConnectTimeoutException {
        Thread self = Thread.currentThread();
        long timeoutMillis = remainingMillis() + GRACE_AFTER_DEADLINE_MILLIS;
        Future<?> timeout =
                scheduler.schedule(self::interrupt, timeoutMillis, TimeUnit.MILLISECONDS);
        try {
            return sender.send(host, remainingMillis());
        } catch (ConnectException | HttpConnectTimeoutException e) {
            throw e;
        } catch (IOException e) {
            return graceExpired()
                    ? new Reply.TimedOut()
                    : new Reply.Broken(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            return new Reply.TimedOut();
        } finally {
            timeout.cancel(false);
            Thread.interrupted();
        }
    }

    private boolean graceExpired() {
        return remainingMillis() + GRACE_AFTER_DEADLINE_MILLIS <= 0;
    }

    private long remainingMillis() {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivalNanos);
        return request.traffic().deadlineMillis() - elapsedMillis;
    }
}
