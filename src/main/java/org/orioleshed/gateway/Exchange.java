package org.orioleshed.gateway;

import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.Quota;
import org.orioleshed.catalog.Repeat;
import org.orioleshed.catalog.Tenancy;
import org.orioleshed.dispatch.Ask;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.RunEnd;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;

/**
 * One caller's request, from its arrival to the end of its answer. Knows of each try how far it
 * came, and sends the request again only where that can't run it twice.
 */
final class Exchange implements Dispatcher.Placee, ServerCall {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Tries that provably did not run the request, beside those that may have. */
    private static final int MAX_PROVED_TRIES = 3;

    /** With less time left than this, no server could answer. */
    private static final long LEAST_TRY_MILLIS = 30;

    /** A server that is silent for this many targets, or usual pauses, is given up for another. */
    private static final double SILENT_TARGETS = 1.5;

    private static final double SILENT_GAPS = 2.5;

    /** A shorter silence is usual for a server under load. */
    private static final long LEAST_SILENCE_MILLIS = 700;

    /** An answer of a plain call is held whole up to this size. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    /** A host that starts reads its configuration within this time, unless the store is away. */
    private static final long CONFIG_WAIT_MILLIS = 700;

    private static final long NO_CONFIG_RETRY_MILLIS = 300;

    /** Calls that may run once get no connection that the server may just be closing. */
    private static final long FRESH_MILLIS = 1_500;

    private static final long ANY_AGE_MILLIS = Long.MAX_VALUE / NANOS_PER_MILLI;

    private enum State {
        WAITING_FOR_CONFIG,
        PLACING,
        SENT,
        DONE
    }

    private enum Reading {
        WHOLE,
        EVENTS,
        NOT_RUN
    }

    private final GatewayContext context;
    private final CallerConnection caller;
    private final CallerRequest request;
    private final CallFacts facts;
    private final Set<ServerId> excluded = new HashSet<>();
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private final EventFramer framer = new EventFramer();
    private State state = State.WAITING_FOR_CONFIG;
    private CallRoute route;
    private Optional<Tenancy> tenancy = Optional.empty();
    private ServiceId service;
    private long deadlineNanos;
    private long endNanos;
    private RunKey run;
    private PoolServer server;
    private ServerPool.Sending sending;
    private long sentNanos;
    private long lastByteNanos;
    private long firstMillis;
    private int eventsBefore;
    private int runs;
    private int provedTries;
    private boolean mayHaveRun;
    private boolean streaming;
    private Reading reading;
    private HttpResponse answerHead;
    private AnswerFacts answerFacts;

    Exchange(GatewayContext context, CallerConnection caller, CallerRequest request) {
        this.context = context;
        this.caller = caller;
        this.request = request;
        this.facts = context.dialect().read(request.headers());
    }

    void start() {
        context.started(this);
        context.snapshot().catalog().ifPresent(this::serve);
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
        if (!route.open() && catalog.wantsKeys()) {
            tenancy = facts.key().flatMap(catalog::holder);
            if (tenancy.isEmpty()) {
                giveUp(HttpResponseStatus.UNAUTHORIZED, "unknown_key", -1);
                return;
            }
        }
        service = route.pick(context.random().nextDouble());
        long waitMillis =
                facts.deadlineMillis() >= 0 ? facts.deadlineMillis() : route.timeoutMillis();
        deadlineNanos = request.arrivedNanos() + waitMillis * NANOS_PER_MILLI;
        endNanos =
                Math.min(
                        deadlineNanos,
                        request.arrivedNanos() + route.timeoutMillis() * NANOS_PER_MILLI);
        place(tenancy.map(Tenancy::workspace));
    }

    private String hostName() {
        String host = request.headers().get(HttpHeaderNames.HOST);
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }

    private void place(Optional<WorkspaceId> payer) {
        long nowNanos = System.nanoTime();
        state = State.PLACING;
        run = context.nextRun();
        long ageMillis = request.ageMillis(nowNanos);
        Ask ask =
                new Ask(
                        service,
                        route.id(),
                        payer,
                        context.domain(),
                        rank(),
                        route.targetMillis() - ageMillis,
                        (endNanos - nowNanos) / NANOS_PER_MILLI,
                        route.repeat() == Repeat.STREAM ? Math.max(1, facts.promptTokens()) : 0,
                        route.repeat() == Repeat.STREAM ? facts.likelyTokens() : 0,
                        tenancy.map(Tenancy::quota).orElse(Quota.NONE).units(facts.statedTokens()),
                        content(),
                        excluded);
        context.dispatcher().place(run, ask, this);
    }

    /** Returns a fingerprint of what is asked and by whom. */
    private long content() {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(request.uri())
                .putUnencodedChars(facts.key().orElse(""))
                .putBytes(request.body().toBytes())
                .hash()
                .asLong();
    }

    private int rank() {
        int first = tenancy.flatMap(Tenancy::priority).orElse(0);
        return Ask.rank(first, route.priority());
    }

    @Override
    public void granted(RunKey granted, ServerId id, String why) {
        if (state != State.PLACING || !granted.equals(run)) {
            context.dispatcher().ended(granted, ended(RunEnd.Outcome.CANCELLED));
            return;
        }
        Optional<PoolServer> known = context.dispatcher().server(id);
        if (known.isEmpty() || known.get().draining()) {
            context.dispatcher().ended(run, ended(RunEnd.Outcome.MISDIRECTED));
            excluded.add(id);
            again(true, "server_left");
            return;
        }
        server = known.get();
        send(why);
    }

    private void send(String why) {
        long nowNanos = System.nanoTime();
        state = State.SENT;
        sentNanos = nowNanos;
        lastByteNanos = nowNanos;
        firstMillis = 0;
        eventsBefore = framer.events();
        answerHead = null;
        whole.reset();
        if (runs + provedTries == 0) {
            context.retries(service).first(nowNanos);
        }
        runs++;
        context.log(
                "event=placed request=%s run=%s route=%s rank=%d server=%s try=%d waited_ms=%d %s"
                        .formatted(
                                facts.id(),
                                run,
                                route.id(),
                                rank(),
                                server.id(),
                                runs + provedTries,
                                request.ageMillis(nowNanos),
                                why));
        long maxIdleMillis = route.mayRunAgain() ? ANY_AGE_MILLIS : FRESH_MILLIS;
        sending = new ServerPool.Sending();
        context.pool(server.address())
                .send(toServer(nowNanos), facts.id(), maxIdleMillis, this, sending);
    }

    private FullHttpRequest toServer(long nowNanos) {
        CallDialect.ServerOrder order =
                new CallDialect.ServerOrder(
                        server.id(),
                        tenancy.map(Tenancy::workspace),
                        Math.max(1, (endNanos - nowNanos) / NANOS_PER_MILLI),
                        streaming ? framer.lastId() : Optional.empty());
        HttpHeaders headers = context.dialect().toServer(request.headers(), order);
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
        String word = reason.name().toLowerCase(java.util.Locale.ROOT);
        if (reason == DispatchAction.Reason.QUOTA) {
            giveUp(HttpResponseStatus.TOO_MANY_REQUESTS, word, retryAfterMillis);
            return;
        }
        giveUpUnplaced(word, retryAfterMillis);
    }

    /** Ends a request that no server has at present. */
    private void giveUpUnplaced(String reason, long retryAfterMillis) {
        if (mayHaveRun) {
            giveUp(HttpResponseStatus.BAD_GATEWAY, reason, -1);
        } else {
            giveUp(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfterMillis);
        }
    }

    @Override
    public void unreachable(String detail) {
        if (state != State.SENT) {
            return;
        }
        notRun(RunEnd.Outcome.UNREACHABLE, detail);
    }

    private void notRun(RunEnd.Outcome outcome, String detail) {
        runs--;
        provedTries++;
        context.dispatcher().ended(run, ended(outcome));
        excluded.add(server.id());
        again(true, outcome + ":" + detail);
    }

    @Override
    public void head(HttpResponse response, AnswerFacts answered) {
        answerHead = response;
        answerFacts = answered;
        boolean success = isSuccess();
        if (answered.notRun() || response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            reading = Reading.NOT_RUN;
        } else if (success && answered.signed() && route.repeat() == Repeat.STREAM) {
            reading = Reading.EVENTS;
        } else {
            reading = Reading.WHOLE;
        }
    }

    private boolean isSuccess() {
        return answerHead.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    @Override
    public void content(ByteBuf bytes) {
        lastByteNanos = System.nanoTime();
        if (state != State.SENT || reading == Reading.NOT_RUN) {
            return;
        }
        if (reading == Reading.EVENTS) {
            byte[] events = framer.feed(bytes);
            if (events.length > 0) {
                forward(events);
            }
            return;
        }
        if (whole.size() + bytes.readableBytes() > MAX_ANSWER_BYTES) {
            sending.cancel();
            broken("answer_too_long");
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        whole.writeBytes(copy);
    }

    private void forward(byte[] events) {
        if (firstMillis == 0) {
            firstMillis = Math.max(1, (System.nanoTime() - sentNanos) / NANOS_PER_MILLI);
            context.dispatcher().first(run, firstMillis);
        }
        beginStream();
        caller.streamPart(events);
    }

    private void beginStream() {
        if (!streaming) {
            streaming = true;
            context.firstEvent(request.ageMillis(System.nanoTime()));
            caller.beginStream(
                    answerHead.status(), context.dialect().toCaller(answerHead.headers()));
        }
    }

    @Override
    public void end() {
        if (state != State.SENT) {
            return;
        }
        switch (reading) {
            case NOT_RUN -> {
                boolean elsewhere =
                        answerHead.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
                notRun(
                        elsewhere ? RunEnd.Outcome.MISDIRECTED : RunEnd.Outcome.REJECTED,
                        answerHead.status().codeAsText().toString());
            }
            case EVENTS -> endStream();
            case WHOLE -> endWhole();
        }
    }

    private void endStream() {
        context.dispatcher().ended(run, ended(RunEnd.Outcome.ANSWERED));
        beginStream();
        byte[] rest = framer.rest();
        if (rest.length > 0) {
            caller.streamPart(rest);
        }
        finish(answerHead.status().code(), "answered");
        caller.endStream();
    }

    private void endWhole() {
        int status = answerHead.status().code();
        boolean success = isSuccess();
        if (success && !answerFacts.signed()) {
            broken("unsigned");
            return;
        }
        boolean fault = status >= 500;
        context.dispatcher()
                .ended(run, ended(fault ? RunEnd.Outcome.FAILED : RunEnd.Outcome.ANSWERED));
        mayHaveRun = true;
        excluded.add(server.id());
        if (fault && mayTryAgain(false)) {
            again(false, "status=" + status);
            return;
        }
        if (streaming) {
            breakOff("status=" + status);
            return;
        }
        if (!answerFacts.signed() && isPromise(status)) {
            giveUp(HttpResponseStatus.BAD_GATEWAY, "unproved_" + status, -1);
            return;
        }
        finish(status, "answered");
        caller.answer(
                answerHead.status(),
                context.dialect().toCaller(answerHead.headers()),
                whole.toByteArray());
    }

    /** Returns whether a status tells the caller that its request has not run. */
    private static boolean isPromise(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    @Override
    public void broken(String detail) {
        if (state != State.SENT) {
            return;
        }
        context.dispatcher().ended(run, ended(RunEnd.Outcome.BROKEN));
        mayHaveRun = true;
        excluded.add(server.id());
        framer.dropRest();
        again(false, "broken:" + detail);
    }

    private RunEnd ended(RunEnd.Outcome outcome) {
        long totalMillis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
        return new RunEnd(outcome, framer.events() - eventsBefore, firstMillis, totalMillis);
    }

    private boolean mayTryAgain(boolean proved) {
        long leftMillis = (endNanos - System.nanoTime()) / NANOS_PER_MILLI;
        if (leftMillis < LEAST_TRY_MILLIS) {
            return false;
        }
        if (proved) {
            return provedTries <= MAX_PROVED_TRIES;
        }
        boolean resumes = !streaming || framer.lastId().isPresent();
        return route.mayRunAgain() && runs < route.attempts() && resumes;
    }

    /** Sends the request to another server, if that is allowed, or gives it up. */
    private void again(boolean proved, String reason) {
        context.log(
                "event=failed_try request=%s run=%s server=%s proved=%s runs=%d reason=\"%s\""
                        .formatted(
                                facts.id(),
                                run,
                                server == null ? "none" : server.id(),
                                proved,
                                runs,
                                reason));
        boolean allowed =
                mayTryAgain(proved)
                        && context.retries(service)
                                .repeat(context.fixedRetries(), System.nanoTime());
        if (allowed) {
            place(Optional.empty());
            return;
        }
        if (streaming) {
            breakOff(reason);
            return;
        }
        giveUpUnplaced(
                reason, context.retryAfterMillis((endNanos - System.nanoTime()) / NANOS_PER_MILLI));
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
        context.dialect().markOwn(headers, facts.id(), retryAfterMillis);
        caller.answer(status, headers, new byte[0]);
    }

    private void finish(int status, String outcome) {
        state = State.DONE;
        long totalMillis = request.ageMillis(System.nanoTime());
        context.finished(this, status, totalMillis);
        context.log(
                "event=done request=%s route=%s workspace=%s status=%d outcome=\"%s\" total_ms=%d"
                                .formatted(
                                        facts.id(),
                                        route == null ? "none" : route.id(),
                                        tenancy.map(it -> it.workspace().value()).orElse("none"),
                                        status,
                                        outcome,
                                        totalMillis)
                        + " events=%d runs=%d".formatted(framer.events(), runs));
    }

    /** The caller's connection is gone. */
    void callerLeft() {
        if (state == State.DONE) {
            return;
        }
        letGo();
        finish(0, "caller_left");
    }

    private void letGo() {
        if (state == State.PLACING) {
            context.dispatcher().withdraw(run);
        } else if (state == State.SENT) {
            sending.cancel();
            context.dispatcher().ended(run, ended(RunEnd.Outcome.CANCELLED));
        }
    }

    void callerWritable(boolean writable) {
        if (sending != null && state == State.SENT) {
            sending.setReading(writable);
        }
    }

    /** Goes on at another server where this one says nothing and the request may be repeated. */
    private void checkSilence(long nowNanos) {
        if (state != State.SENT || !mayTryAgain(false)) {
            return;
        }
        double usualMillis =
                firstMillis == 0
                        ? SILENT_TARGETS * route.targetMillis()
                        : SILENT_GAPS * route.gapMillis();
        double allowedMillis = Math.max(LEAST_SILENCE_MILLIS, usualMillis);
        if (nowNanos - lastByteNanos < allowedMillis * NANOS_PER_MILLI) {
            return;
        }
        sending.cancel();
        context.dispatcher().ended(run, ended(RunEnd.Outcome.TIMED_OUT));
        mayHaveRun = true;
        excluded.add(server.id());
        framer.dropRest();
        again(false, "silent");
    }

    /** Ends the request when its time is over. */
    void tick(long nowNanos) {
        if (state == State.WAITING_FOR_CONFIG) {
            if (request.ageMillis(nowNanos) > CONFIG_WAIT_MILLIS) {
                giveUp(HttpResponseStatus.SERVICE_UNAVAILABLE, "no_config", NO_CONFIG_RETRY_MILLIS);
            }
            return;
        }
        if (state == State.DONE) {
            return;
        }
        if (nowNanos < endNanos) {
            checkSilence(nowNanos);
            return;
        }
        if (state == State.PLACING) {
            letGo();
            giveUpUnplaced("time_over", 0);
            return;
        }
        sending.cancel();
        context.dispatcher()
                .ended(
                        run,
                        ended(
                                firstMillis > 0
                                        ? RunEnd.Outcome.CANCELLED
                                        : RunEnd.Outcome.TIMED_OUT));
        mayHaveRun = true;
        giveUp(HttpResponseStatus.GATEWAY_TIMEOUT, "time_over", -1);
    }
}
