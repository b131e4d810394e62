package org.orioleshed.gateway;

import java.util.function.Consumer;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.http.BodyEnd;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.quarantine.RequestContent;
import org.orioleshed.store.StoreRevision;

/** The log lines of one exchange; each names the caller's id of the request. */
final class ExchangeLog {
    private final Consumer<String> log;
    private final CallerRequest request;
    private final CallHeaders headers;

    ExchangeLog(Consumer<String> log, CallerRequest request, CallHeaders headers) {
        this.log = log;
        this.request = request;
        this.headers = headers;
    }

    private long ageMillis() {
        return request.ageMillis(System.nanoTime());
    }

    private static String serverOf(ServerAttempt attempt) {
        return attempt == null ? "none" : attempt.server().id().value();
    }

    /**
     * Logs a request that the end of this host's process ends.
     *
     * @param attempt the attempt at a server; null if there was none
     */
    void unfinished(RunKey run, String state, ServerAttempt attempt, int events) {
        log.accept(
                "event=unfinished request=%s run=%s state=%s server=%s events=%d output_tokens=%d"
                                .formatted(
                                        headers.id(),
                                        run,
                                        state,
                                        serverOf(attempt),
                                        events,
                                        headers.outputTokens())
                        + " total_ms=%d".formatted(ageMillis()));
    }

    /** Logs whether this host, which is stopping, accepted a request. */
    void whileLeaving(boolean accepted, long hostEndsMillis, long limitMillis) {
        log.accept(
                "event=%s request=%s number_on_connection=%d age_ms=%d"
                                .formatted(
                                        accepted
                                                ? "taken_while_leaving"
                                                : "not_taken_while_leaving",
                                        headers.id(),
                                        request.number(),
                                        ageMillis())
                        + " host_ends_in_ms=%d limit_ms=%d".formatted(hostEndsMillis, limitMillis));
    }

    /** Logs a grant for a server to which the request must not be sent any more. */
    void grantUnused(RunKey run, PoolServer server) {
        log.accept(
                "event=grant_unused request=%s run=%s server=%s domain=%s"
                        .formatted(headers.id(), run, server.id(), server.domain()));
    }

    /** Logs the sending of a request. */
    void placed(
            RunKey run,
            StoreRevision configRevision,
            RouteId route,
            int rank,
            ServerId server,
            int attempts,
            String why) {
        log.accept(
                "event=placed request=%s run=%s config=%s route=%s rank=%d server=%s try=%d"
                                .formatted(
                                        headers.id(),
                                        run,
                                        configRevision,
                                        route,
                                        rank,
                                        server,
                                        attempts)
                        + " waited_ms=%d %s".formatted(ageMillis(), why));
    }

    /** Logs that a server wants nothing from this host for a time. */
    void serverRests(ServerId server, long restMillis) {
        log.accept(
                "event=server_rests request=%s server=%s rest_ms=%d"
                        .formatted(headers.id(), server, restMillis));
    }

    /** Logs that a server states for the first time that it leaves. */
    void serverLeaving(ServerId server) {
        log.accept("event=server_leaving request=%s server=%s".formatted(headers.id(), server));
    }

    /** Logs that a server states another request rate limit. */
    void serverLimit(ServerId server, StatedLimit limit) {
        log.accept(
                "event=server_limit request=%s server=%s per_second=%s"
                        .formatted(headers.id(), server, limit));
    }

    /**
     * Logs an attempt that failed.
     *
     * @param attempt the attempt; null if nothing was sent
     * @param proved whether the request provably did not run
     */
    void failedAttempt(
            RunKey run,
            ServerAttempt attempt,
            boolean proved,
            int attempts,
            String reason,
            RequestContent content,
            int events) {
        log.accept(
                "event=failed_try request=%s run=%s server=%s proved=%s try=%d reason=\"%s\""
                                .formatted(
                                        headers.id(),
                                        run,
                                        serverOf(attempt),
                                        proved,
                                        attempts,
                                        reason)
                        + " %s events=%d streamed_ms=%d %s"
                                .formatted(
                                        content,
                                        events,
                                        attempt == null ? 0 : attempt.streamedMillis(),
                                        responseEnd(attempt)));
    }

    /** Logs that another server is looked for, since the current one sends nothing. */
    void silent(RunKey run, ServerAttempt attempt, long nowNanos) {
        log.accept(
                "event=server_silent request=%s run=%s server=%s silent_ms=%d"
                        .formatted(
                                headers.id(),
                                run,
                                serverOf(attempt),
                                attempt.silentMillis(nowNanos)));
    }

    /** Logs that no other server takes a request over, so that it stays where it is. */
    void noSuccessor(RunKey run, ServerAttempt attempt, String reason) {
        log.accept(
                "event=no_successor request=%s run=%s server=%s reason=\"%s\""
                        .formatted(headers.id(), run, serverOf(attempt), reason));
    }

    /** Logs that a stream that has begun waits for another server. */
    void interrupted(RunKey run, String reason, int events) {
        log.accept(
                "event=interrupted request=%s run=%s reason=\"%s\" events=%d"
                        .formatted(headers.id(), run, reason, events));
    }

    /** Describes how a server's response stated its end, and what it left unfinished. */
    private static String responseEnd(ServerAttempt attempt) {
        return attempt == null
                ? "body_end=" + BodyEnd.UNKNOWN
                : "body_end=%s pending_bytes=%d"
                        .formatted(attempt.bodyEnd(), attempt.pendingBytes());
    }

    /**
     * Logs the end of a request.
     *
     * @param attempt the last attempt at a server; null if there was none
     * @param callerBodyEnd how the caller was told the end of its response
     */
    void done(
            String route,
            String workspace,
            int status,
            String outcome,
            int events,
            int attempts,
            ServerAttempt attempt,
            BodyEnd callerBodyEnd) {
        log.accept(
                "event=done request=%s route=%s workspace=%s status=%d outcome=\"%s\" total_ms=%d"
                                .formatted(
                                        headers.id(),
                                        route,
                                        workspace,
                                        status,
                                        outcome,
                                        ageMillis())
                        + " events=%d tries=%d %s caller_body_end=%s"
                                .formatted(events, attempts, responseEnd(attempt), callerBodyEnd));
    }
}
