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
 * One caller with one request: sends it, sends it again under the same key where that makes sense,
 * and notes the outcome. Used by one thread.
 */
final class Caller {
    private static final int MAX_SENDS = 4;
    private static final int MAX_CONNECTS = 8;
    private static final long PATIENCE_AFTER_DEADLINE_MILLIS = 3_000;
    private static final long RESEND_AFTER_BREAK_MILLIS = 100;
    private static final long MIN_REMAINING_MILLIS = 50;

    private final Http http;
    private final Balancer balancer;
    private final Timings gaps;
    private final ScheduledExecutorService timer;
    private final PlannedRequest request;
    private final long arrivedNanos;
    private final List<Send> sends = new ArrayList<>();
    private long firstTokenMillis = -1;
    private boolean right = true;

    Caller(
            Http http,
            Balancer balancer,
            Timings gaps,
            ScheduledExecutorService timer,
            PlannedRequest request,
            long arrivedNanos) {
        this.http = http;
        this.balancer = balancer;
        this.gaps = gaps;
        this.timer = timer;
        this.request = request;
        this.arrivedNanos = arrivedNanos;
    }

    Result call() throws InterruptedException {
        End end = End.LOST;
        while (sends.size() < MAX_SENDS && remainingMillis() > MIN_REMAINING_MILLIS) {
            Reply reply = send();
            end = end(reply, end);
            long pauseMillis = pauseMillis(reply);
            if (pauseMillis < 0 || pauseMillis + MIN_REMAINING_MILLIS > remainingMillis()) {
                break;
            }
            Thread.sleep(pauseMillis);
        }
        boolean inTime = end == End.ANSWERED && remainingMillis() >= 0 && right;
        return new Result(request, end, inTime, right, firstTokenMillis, sends);
    }

    /** Returns how long to wait before another send, in milliseconds; negative for no other. */
    private long pauseMillis(Reply reply) {
        return switch (reply) {
            case Reply.Whole whole -> -1;
            case Reply.Silence silence -> -1;
            case Reply.Broken broken -> RESEND_AFTER_BREAK_MILLIS;
            case Reply.Refusal refusal ->
                    refusal.ran().equals("failed") ? -1 : refusal.retryAfterMillis();
        };
    }

    private static End end(Reply reply, End before) {
        return switch (reply) {
            case Reply.Whole whole -> End.ANSWERED;
            case Reply.Silence silence -> End.LOST;
            case Reply.Broken broken -> before == End.IN_DOUBT ? before : End.LOST;
            case Reply.Refusal refusal ->
                    switch (refusal.ran()) {
                        case "not_run" -> End.NOT_RUN;
                        case "in_doubt" -> End.IN_DOUBT;
                        default -> End.FAILED;
                    };
        };
    }

    private Reply send() throws InterruptedException {
        long startMillis = System.currentTimeMillis();
        SendOnce once = new SendOnce(http, request, gaps);
        Host host = balancer.next();
        Reply reply = new Reply.Broken("no host can be reached");
        for (int connect = 0; connect < MAX_CONNECTS; connect++) {
            try {
                reply = watched(once, host);
                break;
            } catch (ConnectException | HttpConnectTimeoutException e) {
                host = balancer.next();
            }
        }
        if (once.firstByteNanos() != 0 && firstTokenMillis < 0) {
            firstTokenMillis = TimeUnit.NANOSECONDS.toMillis(once.firstByteNanos() - arrivedNanos);
        }
        right &= !(reply instanceof Reply.Whole whole) || whole.right();
        sends.add(record(host, startMillis, reply));
        return reply;
    }

    private static Send record(Host host, long startMillis, Reply reply) {
        String code =
                switch (reply) {
                    case Reply.Refusal refusal -> refusal.code();
                    case Reply.Broken broken -> broken.detail();
                    default -> "";
                };
        return new Send(host.id(), startMillis, System.currentTimeMillis(), reply.word(), code);
    }

    private Reply watched(SendOnce once, Host host)
            throws ConnectException, HttpConnectTimeoutException {
        Thread self = Thread.currentThread();
        long patienceMillis = remainingMillis() + PATIENCE_AFTER_DEADLINE_MILLIS;
        Future<?> watchdog = timer.schedule(self::interrupt, patienceMillis, TimeUnit.MILLISECONDS);
        try {
            return once.send(host, remainingMillis());
        } catch (ConnectException | HttpConnectTimeoutException e) {
            throw e;
        } catch (IOException e) {
            return over() ? new Reply.Silence() : new Reply.Broken(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            return new Reply.Silence();
        } finally {
            watchdog.cancel(false);
            Thread.interrupted();
        }
    }

    private boolean over() {
        return remainingMillis() + PATIENCE_AFTER_DEADLINE_MILLIS <= 0;
    }

    private long remainingMillis() {
        long goneMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedNanos);
        return request.traffic().deadlineMillis() - goneMillis;
    }
}
