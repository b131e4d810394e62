package org.orioleshed.gateway;

import com.google.common.hash.Hashing;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.Quota;
import org.orioleshed.catalog.Repeatability;
import org.orioleshed.catalog.WorkspaceConfig;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.PlacementRequest;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.model.Payload;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;

/**
 * One caller's request, from its arrival to the end of its answer. Knows of each attempt how far it
 * came, and sends the request again only where that can't run it twice.
 */
final class Exchange implements Dispatcher.PlacementListener, ServerAttempt.Listener {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A host that starts reads its configuration within this time, unless the store is away. */
    private static final long CONFIG_WAIT_MILLIS = 700;

    private static final long NO_CONFIG_RETRY_MILLIS = 300;

    /** Calls that may run once get no connection that the server may just be closing. */
    private static final long FRESH_MILLIS = 1_500;

    private static final long ANY_AGE_MILLIS = Long.MAX_VALUE / NANOS_PER_MILLI;

    private static final String LEAVING = "leaving";

    private enum State {
        WAITING_FOR_CONFIG,
        PLACING,
        SENT,
        DONE
    }

    private final GatewayContext context;
    private final CallerConnection caller;
    private final CallerRequest request;
    private final CallHeaders callHeaders;
    private final Set<ServerId> excluded = new HashSet<>();
    private final EventFramer framer = new EventFramer();
    private State state = State.WAITING_FOR_CONFIG;
    private Optional<WorkspaceConfig> workspaceConfig = Optional.empty();
    private CallRoute route;
    private RetryRule rule;
    private ServiceId service;
    private long endNanos;
    private long content;
    private RunKey run;
    private ServerAttempt current;
    private boolean streaming;
    private boolean reported;

    Exchange(GatewayContext context, CallerConnection caller, CallerRequest request) {
        this.context = context;
        this.caller = caller;
        this.request = request;
        this.callHeaders = context.translator().read(request.headers());
    }

    void start() {
        context.started(this);
        if (context.isLate()) {
            // Who waited unread may have left, and that is read only after the request.
            context.soon(this::serveIfKnown);
        } else {
            serveIfKnown();
        }
    }

    private void serveIfKnown() {
        if (state == State.WAITING_FOR_CONFIG) {
            context.snapshot().usable().ifPresent(this::serve);
        }
    }

    /** Returns whether a server has the request. */
    boolean isSent() {
        return state == State.SENT;
    }

    /** Ends the request with a final answer, since this host ends. */
    void hostEnds() {
        logUnfinished();
        switch (state) {
            case WAITING_FOR_CONFIG -> giveUp(HttpResponseStatus.SERVICE_UNAVAILABLE, LEAVING, 0);
            case PLACING -> handBack();
            case SENT -> {
                letGo(RunReport.Outcome.CANCELLED);
                giveUp(HttpResponseStatus.BAD_GATEWAY, LEAVING, -1);
            }
            case DONE -> {}
        }
    }

    /** Gives up a request that no server has, so that its caller comes back to another host. */
    private void handBack() {
        letGo(RunReport.Outcome.CANCELLED);
        giveUpUnplaced(LEAVING, 0);
    }

    private void logUnfinished() {
        context.log(
                "event=unfinished request=%s run=%s state=%s server=%s events=%d output_tokens=%d"
                                .formatted(
                                        callHeaders.id(),
                                        run,
                                        state,
                                        current == null ? "none" : current.server().id(),
                                        framer.events(),
                                        callHeaders.outputTokens())
                        + " total_ms=%d".formatted(request.ageMillis(System.nanoTime())));
    }

    /** A configuration is known now. */
    void configured(Catalog catalog) {
        if (state == State.WAITING_FOR_CONFIG) {
            serve(catalog);
        }
    }

    private void serve(Catalog catalog) {
        Optional<CallRoute> found = catalog.route(hostName(), request.path());
        if (found.isEmpty()) {
            giveUp(HttpResponseStatus.NOT_FOUND, "no_route", -1);
            return;
        }
        route = found.get();
        if (!route.open() && catalog.requiresKeys()) {
            workspaceConfig = callHeaders.key().flatMap(catalog::holder);
            if (workspaceConfig.isEmpty()) {
                giveUp(HttpResponseStatus.UNAUTHORIZED, "unknown_key", -1);
                return;
            }
        }
        rule = new RetryRule(route);
        service = route.pick(context.random().nextDouble());
        long waitMillis = route.timeoutMillis();
        if (callHeaders.deadlineMillis() >= 0) {
            waitMillis = Math.min(waitMillis, callHeaders.deadlineMillis());
        }
        endNanos = request.arrivedNanos() + waitMillis * NANOS_PER_MILLI;
        content = fingerprint();
        if (context.leaving().begun() && !isTakenWhileLeaving()) {
            giveUp(HttpResponseStatus.SERVICE_UNAVAILABLE, LEAVING, 0);
            return;
        }
        place(workspaceConfig.map(WorkspaceConfig::workspace));
    }

    private boolean isTakenWhileLeaving() {
        long nowNanos = System.nanoTime();
        long limitMillis = callerLeftMillis(nowNanos);
        boolean taken = context.leaving().takes(limitMillis, nowNanos);
        context.log(
                "event=%s request=%s number_on_connection=%d age_ms=%d"
                                .formatted(
                                        taken ? "taken_while_leaving" : "not_taken_while_leaving",
                                        callHeaders.id(),
                                        request.number(),
                                        request.ageMillis(nowNanos))
                        + " host_ends_in_ms=%d limit_ms=%d"
                                .formatted(context.leaving().leftMillis(nowNanos), limitMillis));
        return taken;
    }

    private String hostName() {
        String host = request.headers().get(HttpHeaderNames.HOST);
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }

    private void place(Optional<WorkspaceId> payer) {
        state = State.PLACING;
        run = context.nextRun();
        context.dispatcher().place(run, placementRequest(payer), this);
    }

    private PlacementRequest placementRequest(Optional<WorkspaceId> payer) {
        boolean model = route.repeatability() == Repeatability.STREAM;
        long nowNanos = System.nanoTime();
        return new PlacementRequest(
                service,
                route.id(),
                payer,
                context.domain(),
                rank(),
                route.targetMillis() - request.ageMillis(nowNanos),
                leftMillis(nowNanos),
                model ? Math.max(1, callHeaders.promptTokens()) : 0,
                model ? callHeaders.likelyTokens() : 0,
                workspaceConfig
                        .map(WorkspaceConfig::quota)
                        .orElse(Quota.NONE)
                        .units(callHeaders.statedTokens()),
                content,
                excluded());
    }

    /** Returns the servers that had the request, and those that want nothing from this host now. */
    private Set<ServerId> excluded() {
        Set<ServerId> avoided = context.dispatcher().avoided();
        if (avoided.isEmpty()) {
            return excluded;
        }
        Set<ServerId> all = new HashSet<>(excluded);
        all.addAll(avoided);
        return all;
    }

    private long callerLeftMillis(long nowNanos) {
        return (endNanos - nowNanos) / NANOS_PER_MILLI;
    }

    /** Returns the time left to the caller and to this host. */
    private long leftMillis(long nowNanos) {
        return Math.min(callerLeftMillis(nowNanos), context.leaving().leftMillis(nowNanos));
    }

    /** Returns a fingerprint of what is asked and by whom. */
    private long fingerprint() {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(request.uri())
                .putUnencodedChars(callHeaders.key().orElse(""))
                .putBytes(request.body().toBytes())
                .hash()
                .asLong();
    }

    private int rank() {
        return PlacementRequest.rank(
                workspaceConfig.flatMap(WorkspaceConfig::priority).orElse(0), route.priority());
    }

    @Override
    public void granted(RunKey granted, ServerId id, String why) {
        if (state != State.PLACING || !granted.equals(run)) {
            context.dispatcher()
                    .ended(granted, new RunReport(RunReport.Outcome.CANCELLED, 0, 0, 0));
            return;
        }
        Optional<PoolServer> known = context.dispatcher().server(id);
        if (known.isEmpty() || context.dispatcher().avoids(known.get())) {
            context.dispatcher().ended(run, new RunReport(RunReport.Outcome.MISDIRECTED, 0, 0, 0));
            excluded.add(id);
            rule.notSent();
            again(true, "server_left");
            return;
        }
        send(known.get(), why);
    }

    private void send(PoolServer server, String why) {
        long nowNanos = System.nanoTime();
        state = State.SENT;
        if (rule.attempts() == 0) {
            context.retries(service).first(nowNanos);
        }
        rule.sent();
        current =
                new ServerAttempt(
                        run,
                        server,
                        route.repeatability() == Repeatability.STREAM,
                        framer,
                        this,
                        nowNanos);
        context.log(
                "event=placed request=%s run=%s config=%d route=%s rank=%d server=%s try=%d"
                                .formatted(
                                        callHeaders.id(),
                                        run,
                                        context.snapshot().configRevision(),
                                        route.id(),
                                        rank(),
                                        server.id(),
                                        rule.attempts())
                        + " waited_ms=%d %s".formatted(request.ageMillis(nowNanos), why));
        context.pool(server.address())
                .send(
                        toServer(server, nowNanos),
                        callHeaders.id(),
                        route.mayRunAgain() ? ANY_AGE_MILLIS : FRESH_MILLIS,
                        current,
                        current.sending());
    }

    private FullHttpRequest toServer(PoolServer server, long nowNanos) {
        HeaderTranslator.ServerOrder order =
                new HeaderTranslator.ServerOrder(
                        server.id(),
                        workspaceConfig.map(WorkspaceConfig::workspace),
                        Math.max(1, callerLeftMillis(nowNanos)),
                        streaming ? framer.lastId() : Optional.empty());
        HttpHeaders headers = context.translator().toServer(request.headers(), order);
        byte[] body = request.body().toBytes();
        if (body.length > 0 || request.method().equals(HttpMethod.POST)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(body),
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    }

    @Override
    public void refused(RunKey refusedRun, DispatchAction.Reason reason, long retryAfterMillis) {
        if (state != State.PLACING || !refusedRun.equals(run)) {
            return;
        }
        String word = reason.name().toLowerCase(Locale.ROOT);
        if (reason == DispatchAction.Reason.QUOTA) {
            giveUp(HttpResponseStatus.TOO_MANY_REQUESTS, word, retryAfterMillis);
            return;
        }
        giveUpUnplaced(word, retryAfterMillis);
    }

    /** Ends a request that no server has at present. */
    private void giveUpUnplaced(String reason, long retryAfterMillis) {
        if (rule.mayHaveRun()) {
            giveUp(HttpResponseStatus.BAD_GATEWAY, reason, -1);
        } else {
            giveUp(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfterMillis);
        }
    }

    @Override
    public void notRun(ServerAttempt which, RunReport.Outcome outcome, String detail) {
        context.dispatcher().ended(which.run(), which.end(outcome));
        excluded.add(which.server().id());
        rule.provedNotRun();
        again(true, outcome + ":" + detail);
    }

    @Override
    public void noticed(ServerAttempt which, ResponseHeaders answer) {
        if (answer.restMillis() > 0) {
            context.log(
                    "event=server_rests request=%s server=%s rest_ms=%d"
                            .formatted(callHeaders.id(), which.server().id(), answer.restMillis()));
        }
        ServerNotices.News news = context.dispatcher().noticed(which.server(), answer);
        if (news.leaves()) {
            context.log(
                    "event=server_leaving request=%s server=%s"
                            .formatted(callHeaders.id(), which.server().id()));
        }
        if (news.limit()) {
            context.log(
                    "event=server_limit request=%s server=%s per_second=%s"
                            .formatted(callHeaders.id(), which.server().id(), answer.limit()));
        }
    }

    @Override
    public void events(ServerAttempt which, HttpResponse head, byte[] events) {
        if (!which.hasEvents() || state != State.SENT) {
            return;
        }
        beginStream(which, head);
        caller.streamPart(events);
    }

    private void beginStream(ServerAttempt which, HttpResponse head) {
        if (which.run().equals(run) && !reported) {
            reported = true;
            context.dispatcher().first(run, Math.max(1, which.firstMillis()), which.limit());
        }
        if (!streaming) {
            streaming = true;
            context.firstEvent(request.ageMillis(System.nanoTime()));
            caller.beginStream(head.status(), context.translator().toCaller(head.headers()));
        }
    }

    @Override
    public void streamEnded(ServerAttempt which, HttpResponse head, byte[] rest) {
        beginStream(which, head);
        context.dispatcher().ended(which.run(), which.end(RunReport.Outcome.ANSWERED));
        if (rest.length > 0) {
            caller.streamPart(rest);
        }
        finish(head.status().code(), "answered");
        caller.endStream();
    }

    @Override
    public void answered(
            ServerAttempt which, HttpResponse head, ResponseHeaders answer, Payload body) {
        int status = head.status().code();
        boolean fault = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        RunReport.Outcome outcome = fault ? RunReport.Outcome.FAILED : RunReport.Outcome.ANSWERED;
        context.dispatcher().ended(which.run(), which.end(outcome));
        rule.ran();
        excluded.add(which.server().id());
        if (fault && mayRetry(false)) {
            again(false, "status=" + status);
            return;
        }
        if (streaming) {
            breakOff("status=" + status);
            return;
        }
        if (!answer.signed() && isPromise(status)) {
            giveUp(HttpResponseStatus.BAD_GATEWAY, "unproved_" + status, -1);
            return;
        }
        finish(status, "answered");
        caller.answer(head.status(), context.translator().toCaller(head.headers()), body.toBytes());
    }

    /** Returns whether a status tells the caller that its request has not run. */
    private static boolean isPromise(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    @Override
    public void broken(ServerAttempt which, RunReport.Outcome outcome, String detail) {
        context.dispatcher().ended(which.run(), which.end(outcome));
        rule.ran();
        excluded.add(which.server().id());
        framer.dropRest();
        again(false, outcome + ":" + detail);
    }

    private boolean mayRetry(boolean proved) {
        long leftMillis = leftMillis(System.nanoTime());
        boolean resumes = !streaming || framer.lastId().isPresent();
        return resumes && rule.mayRetry(proved, leftMillis);
    }

    /** Sends the request to another server, if that is allowed, or gives it up. */
    private void again(boolean proved, String reason) {
        context.log(
                "event=failed_try request=%s run=%s server=%s proved=%s try=%d reason=\"%s\""
                        .formatted(
                                callHeaders.id(),
                                run,
                                current == null ? "none" : current.server().id(),
                                proved,
                                rule.attempts(),
                                reason));
        long nowNanos = System.nanoTime();
        if (isForAnotherHost(nowNanos)) {
            giveUpUnplaced(LEAVING, 0);
            return;
        }
        boolean allowed =
                mayRetry(proved) && context.retries(service).take(context.fixedRetries(), nowNanos);
        if (allowed) {
            reported = false;
            place(Optional.empty());
            return;
        }
        if (streaming) {
            breakOff(reason);
            return;
        }
        giveUpUnplaced(reason, context.retryAfterMillis(leftMillis(nowNanos)));
    }

    /** Ends a stream that has begun and can't be completed. */
    private void breakOff(String reason) {
        finish(0, "broken_off:" + reason);
        caller.breakOff();
    }

    /** Ends a request with an answer of this system's own. */
    private void giveUp(HttpResponseStatus status, String reason, long retryAfterMillis) {
        if (streaming) {
            breakOff(reason);
            return;
        }
        finish(status.code(), reason);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        context.translator().markOwn(headers, callHeaders.id(), retryAfterMillis);
        caller.answer(status, headers, new byte[0]);
    }

    private void finish(int status, String outcome) {
        state = State.DONE;
        long totalMillis = request.ageMillis(System.nanoTime());
        context.finished(this, status, totalMillis);
        context.log(
                "event=done request=%s route=%s workspace=%s status=%d outcome=\"%s\" total_ms=%d"
                                .formatted(
                                        callHeaders.id(),
                                        route == null ? "none" : route.id(),
                                        workspaceConfig
                                                .map(it -> it.workspace().value())
                                                .orElse("none"),
                                        status,
                                        outcome,
                                        totalMillis)
                        + " events=%d tries=%d"
                                .formatted(framer.events(), rule == null ? 0 : rule.attempts()));
    }

    /** The caller's connection is gone. */
    void callerLeft() {
        if (state == State.DONE) {
            return;
        }
        letGo(RunReport.Outcome.CANCELLED);
        finish(0, "caller_left");
    }

    /** Ends what is under way, wherever it is. */
    private void letGo(RunReport.Outcome outcome) {
        if (state == State.PLACING) {
            context.dispatcher().withdraw(run);
        } else if (state == State.SENT) {
            current.cancel();
            context.dispatcher().ended(run, current.end(outcome));
        }
    }

    void callerWritable(boolean writable) {
        if (state == State.SENT) {
            current.sending().setReading(writable);
        }
    }

    /** Ends the request when its time is over, and leaves a server that is silent. */
    void tick(long nowNanos) {
        switch (state) {
            case WAITING_FOR_CONFIG -> {
                if (request.ageMillis(nowNanos) > CONFIG_WAIT_MILLIS) {
                    giveUp(
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            "no_config",
                            NO_CONFIG_RETRY_MILLIS);
                }
            }
            case PLACING -> {
                if (nowNanos >= endNanos) {
                    letGo(RunReport.Outcome.CANCELLED);
                    giveUpUnplaced("time_over", 0);
                } else if (isForAnotherHost(nowNanos)) {
                    handBack();
                }
            }
            case SENT -> {
                if (nowNanos >= endNanos) {
                    timeOver();
                } else if (rule.isSilent(current, nowNanos) && mayRetry(false)) {
                    leaveSilent();
                }
            }
            case DONE -> {}
        }
    }

    /** Returns whether a request that no server has had is better served by another host. */
    private boolean isForAnotherHost(long nowNanos) {
        return !rule.mayHaveRun()
                && !streaming
                && !context.leaving().takes(callerLeftMillis(nowNanos), nowNanos);
    }

    private void timeOver() {
        letGo(current.hasEvents() ? RunReport.Outcome.CANCELLED : RunReport.Outcome.TIMED_OUT);
        rule.ran();
        giveUp(HttpResponseStatus.GATEWAY_TIMEOUT, "time_over", -1);
    }

    /** Goes on at another server. */
    private void leaveSilent() {
        current.cancel();
        broken(current, RunReport.Outcome.TIMED_OUT, "silent");
    }
}
