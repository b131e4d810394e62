package org.orioleshed.gateway;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.AccessRule;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.WorkspaceConfig;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.http.BodyEnd;
import org.orioleshed.model.Payload;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;

/**
 * One caller's request, from its arrival to the end of its response. Tracks how far each attempt
 * got, and sends the request again only if it provably did not run or its route allows another run.
 */
final class Exchange implements Dispatcher.PlacementListener, ServerAttempt.Listener {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A starting host reads its configuration within this time unless the store is unavailable. */
    private static final long CONFIG_WAIT_MILLIS = 700;

    private static final long NO_CONFIG_RETRY_MILLIS = 300;

    /** Calls that must run only once avoid connections that the server may just be closing. */
    private static final long RUN_ONCE_MAX_IDLE_MILLIS = 1_500;

    private static final long UNLIMITED_IDLE_MILLIS = Long.MAX_VALUE / NANOS_PER_MILLI;

    private static final String LEAVING = "leaving";

    private enum State {
        WAITING_FOR_CONFIG,
        PLACING,
        /** A stream that has begun waits until a slot may be requested again. */
        INTERRUPTED,
        SENT,
        DONE
    }

    private static final Successor NO_SUCCESSOR = new Successor.None();

    private final GatewayContext context;
    private final CallerConnection caller;
    private final CallerResponse response;
    private final CallerRequest request;
    private final CallHeaders callHeaders;
    private final ExchangeLog log;
    private final Set<ServerId> excluded = new HashSet<>();
    private EventFramer framer = new EventFramer();
    private State state = State.WAITING_FOR_CONFIG;

    /** Null until the configuration is known. */
    private RoutedRequest routed;

    private RetryRule retryRule;
    private RetryCharge retryCharge;
    private RunKey run;
    private ServerAttempt currentAttempt;
    private Successor successor = NO_SUCCESSOR;

    /** The servers that are excluded only because they were silent. */
    private final Set<ServerId> silentServers = new HashSet<>();

    /** Whether an interrupted stream has taken a retry from the budget that it has not used. */
    private boolean retryTaken;

    /** When an interrupted stream requests a slot again. */
    private long placeAgainNanos;

    private final RelayAttempts relays;
    private boolean charged;
    private boolean firstEventReported;
    private boolean readingPaused;

    /** Creates the exchange for a request of this host's own caller. */
    Exchange(GatewayContext context, CallerConnection caller, CallerRequest request) {
        this(
                context,
                caller,
                request,
                new RelayAttempts(context.forwarding(), false, Optional.empty()));
    }

    private Exchange(
            GatewayContext context,
            CallerConnection caller,
            CallerRequest request,
            RelayAttempts relays) {
        this.relays = relays;
        this.charged = relays.isCharged();
        this.context = context;
        this.caller = caller;
        this.response = new CallerResponse(caller, context.translator());
        this.request = request;
        this.callHeaders = context.translator().read(request.headers());
        this.log = new ExchangeLog(context::log, request, callHeaders);
    }

    /** Returns the exchange for a request that arrived at the listener for forwarded requests. */
    static Exchange forwardedHere(
            GatewayContext context,
            CallerConnection host,
            CallerRequest request,
            Optional<ForwardedRequest> origin) {
        return new Exchange(
                context, host, request, new RelayAttempts(context.forwarding(), true, origin));
    }

    void start() {
        context.started(this);
        if (!relays.accept()) {
            fail(HttpResponseStatus.SERVICE_UNAVAILABLE, "relay_busy", 0);
            return;
        }
        if (!context.isLate() && !(request.number() == 1 && caller.acceptedLate())) {
            serveIfConfigured();
        } else if (caller.isReading()) {
            context.runLater(this::serveIfCallerWaits);
        } else {
            serveIfCallerWaits();
        }
    }

    /** Serves the request, which may have waited unread, unless its caller has disconnected. */
    private void serveIfCallerWaits() {
        if (state == State.WAITING_FOR_CONFIG && callerWaits()) {
            serveIfConfigured();
        }
    }

    /** Returns whether the caller has not disconnected; ends the request if it has. */
    private boolean callerWaits() {
        if (caller.isStillOpen()) {
            return true;
        }
        callerDisconnected();
        return false;
    }

    private void serveIfConfigured() {
        if (state == State.WAITING_FOR_CONFIG) {
            context.snapshot().usable().ifPresent(this::serve);
        }
    }

    /** Returns whether the request was sent to a server. */
    boolean isSent() {
        return state == State.SENT;
    }

    /** Passes on what the request's server has sent and this host has not read yet. */
    void receiveResponse() {
        if (state == State.SENT && !readingPaused) {
            currentAttempt.pendingSend().receive();
        }
    }

    /** Ends the request with a final response because this host is stopping. */
    void hostStopping() {
        if (state == State.DONE) {
            return;
        }
        logUnfinished();
        switch (state) {
            case WAITING_FOR_CONFIG -> fail(HttpResponseStatus.SERVICE_UNAVAILABLE, LEAVING, 0);
            case PLACING, INTERRUPTED -> returnToCaller();
            case SENT -> {
                abandonAttempts(RunReport.Outcome.CANCELLED);
                retryRule.ran();
                fail(HttpResponseStatus.BAD_GATEWAY, LEAVING, -1);
            }
            case DONE -> {}
        }
    }

    /** Ends an unplaced request, so that its caller retries at another host. */
    private void returnToCaller() {
        abandonAttempts(RunReport.Outcome.CANCELLED);
        failUnplaced(LEAVING, 0);
    }

    private void logUnfinished() {
        log.unfinished(run, state.name(), currentAttempt, framer.events());
    }

    /** Serves the request if it waited for the first configuration. */
    void configured(Catalog catalog) {
        if (state == State.WAITING_FOR_CONFIG) {
            serve(catalog);
        }
    }

    private void serve(Catalog catalog) {
        Optional<CallRoute> matched = catalog.route(request.hostName(), request.path());
        if (matched.isEmpty()) {
            fail(HttpResponseStatus.NOT_FOUND, "no_route", -1);
            return;
        }
        CallRoute route = matched.get();
        Optional<WorkspaceConfig> holder = Optional.empty();
        if (!route.open() && catalog.access() instanceof AccessRule.KeyHolders holders) {
            holder = callHeaders.key().flatMap(holders::holder);
            if (holder.isEmpty()) {
                fail(HttpResponseStatus.UNAUTHORIZED, "unknown_key", -1);
                return;
            }
        }
        routed = new RoutedRequest(context, request, callHeaders, route, holder);
        // The forwarding host repeats requests that may have run, so that both don't multiply them.
        retryRule = new RetryRule(route, relays.isForwardedHere() ? 1 : route.attempts());
        retryCharge = new RetryCharge(context, routed.service());
        if (context.shutdownPolicy().begun() && !acceptsWhileStopping()) {
            fail(HttpResponseStatus.SERVICE_UNAVAILABLE, LEAVING, 0);
            return;
        }
        place();
    }

    private boolean acceptsWhileStopping() {
        long nowNanos = System.nanoTime();
        long limitMillis = routed.callerRemainingMillis(nowNanos);
        boolean accepted = context.shutdownPolicy().accepts(limitMillis, nowNanos);
        log.whileLeaving(accepted, context.shutdownPolicy().leftMillis(nowNanos), limitMillis);
        return accepted;
    }

    private void place() {
        state = State.PLACING;
        run = context.nextRun();
        requestSlot(run);
    }

    private void requestSlot(RunKey key) {
        boolean mustRefuse = relays.mustRefuse(routed.service());
        if (mustRefuse || relays.isExhausted(routed.service(), routed::mayReceiveBody)) {
            notPlaced(
                    key, mustRefuse ? Forwarding.POOL_UNREACHABLE : "no_relay", retryAfterMillis());
            return;
        }
        Optional<PoolServer> relay = relays.next(routed.service(), routed::mayReceiveBody);
        if (relay.isPresent()) {
            sendTo(key, relay.get(), "by=relay");
            return;
        }
        context.dispatcher().place(key, routed.placementRequest(charged, excluded), this);
    }

    /** Sends the request to a server, beside a silent one or alone. */
    private void sendTo(RunKey key, PoolServer server, String why) {
        if (isSuccessor(key)) {
            sendToSuccessor(key, server, why);
        } else {
            send(key, server, why);
        }
    }

    /** Returns whether a run is the placement that is requested beside the current attempt. */
    private boolean isSuccessor(RunKey key) {
        return successor instanceof Successor.Placing placing && placing.run().equals(key);
    }

    @Override
    public void granted(RunKey granted, ServerId id, String why) {
        if (!awaitsPlacement(granted)) {
            endUnsent(granted, RunReport.Outcome.CANCELLED);
            return;
        }
        charged = true;
        if (context.isLate() && caller.isReading()) {
            context.runLater(() -> granted(granted, id, why));
            return;
        }
        if (!mayBeSent(granted)) {
            return;
        }
        Optional<PoolServer> server = context.dispatcher().server(id);
        if (server.isPresent() && mustNotServe(server.get())) {
            replaceGrant(granted, server.get());
            return;
        }
        if (server.isEmpty() || context.dispatcher().avoids(server.get())) {
            endUnsent(granted, RunReport.Outcome.MISDIRECTED);
            excluded.add(id);
            if (isSuccessor(granted)) {
                lookAgainLater();
                return;
            }
            retryRule.notSent();
            logFailed(currentAttempt, true, "server_left");
            retryOrFail(true, "server_left");
            return;
        }
        sendTo(granted, server.get(), why);
    }

    private boolean awaitsPlacement(RunKey key) {
        return isSuccessor(key) || (state == State.PLACING && key.equals(run));
    }

    private void endUnsent(RunKey key, RunReport.Outcome outcome) {
        context.dispatcher().ended(key, new RunReport(outcome, 0, 0, 0));
    }

    /**
     * Returns whether a server must not get this request. The primary may not know yet that the
     * server is evacuated, or was started in another region.
     */
    private boolean mustNotServe(PoolServer server) {
        return context.dispatcher().isEvacuated(server) || !routed.mayRunIn(server.domain());
    }

    /**
     * Requests another placement instead of a grant of a server that must not serve this request.
     * Nothing was sent, so this counts neither as a retry nor against the server.
     */
    private void replaceGrant(RunKey key, PoolServer server) {
        log.grantUnused(key, server);
        endUnsent(key, RunReport.Outcome.CANCELLED);
        excluded.add(server.id());
        if (isSuccessor(key)) {
            lookForSuccessor();
        } else {
            place();
        }
    }

    /**
     * Returns whether a request that was granted a server is to be sent: its caller waits and its
     * time is not over. Ends the request if not.
     */
    private boolean mayBeSent(RunKey key) {
        if (routed.isOver(System.nanoTime())) {
            endUnsent(key, RunReport.Outcome.CANCELLED);
            endOfTime();
            return false;
        }
        if (context.isLate() && !caller.isStillOpen()) {
            endUnsent(key, RunReport.Outcome.CANCELLED);
            callerDisconnected();
            return false;
        }
        return true;
    }

    /** Ends a request whose time is over. */
    private void endOfTime() {
        if (state == State.SENT) {
            timeOut();
            return;
        }
        abandonAttempts(RunReport.Outcome.CANCELLED);
        failUnplaced("time_over", 0);
    }

    @Override
    public boolean confirmSend(ServerAttempt attempt) {
        if (routed.isOver(System.nanoTime())) {
            if (attempt != currentAttempt) {
                timeOut();
                return false;
            }
            abandonAttempts(RunReport.Outcome.CANCELLED);
            retryRule.provedNotRun();
            failUnplaced("time_over", 0);
            return false;
        }
        return !context.isLate() || callerWaits();
    }

    private void send(RunKey key, PoolServer server, String why) {
        run = key;
        state = State.SENT;
        retryTaken = false;
        long nowNanos = System.nanoTime();
        if (retryRule.attempts() == 0 && !relays.isForwardedHere()) {
            retryCharge.recordFirst();
        }
        currentAttempt = newAttempt(key, server, framer, nowNanos);
        successor = NO_SUCCESSOR;
        transmit(currentAttempt, why);
    }

    private ServerAttempt newAttempt(
            RunKey key, PoolServer server, EventFramer events, long nowNanos) {
        return new ServerAttempt(
                key, server, routed.isStream(), events, this, context.responses(), nowNanos);
    }

    private void transmit(ServerAttempt attempt, String why) {
        PoolServer server = attempt.server();
        retryRule.sent();
        log.placed(
                attempt.run(),
                context.snapshot().configRevision(),
                routed.route().id(),
                routed.rank(),
                server.id(),
                retryRule.attempts(),
                why);
        relays.sent(server);
        context.pool(server.address())
                .send(
                        request.withHeaders(headersFor(server)),
                        callHeaders.id(),
                        routed.route().mayRunAgain()
                                ? UNLIMITED_IDLE_MILLIS
                                : RUN_ONCE_MAX_IDLE_MILLIS,
                        attempt,
                        attempt.pendingSend());
    }

    private HttpHeaders headersFor(PoolServer server) {
        Optional<String> lastEvent = response.isStreaming() ? framer.lastId() : Optional.empty();
        return relays.isRelay(server)
                ? routed.headersForRelay(relays.statement(charged), lastEvent)
                : routed.headersForServer(server.id(), lastEvent);
    }

    @Override
    public void refused(RunKey refusedRun, DispatchAction.Reason reason, long retryAfterMillis) {
        if (!awaitsPlacement(refusedRun)) {
            return;
        }
        String reasonCode = reason.name().toLowerCase(Locale.ROOT);
        boolean lastWord = reason == DispatchAction.Reason.HELD;
        if (response.isStreaming() && lastWord && !isSuccessor(refusedRun)) {
            abort(reasonCode);
            return;
        }
        boolean unsentOverQuota = reason == DispatchAction.Reason.QUOTA && !retryRule.mayHaveRun();
        if (unsentOverQuota && !isSuccessor(refusedRun)) {
            fail(HttpResponseStatus.TOO_MANY_REQUESTS, reasonCode, retryAfterMillis);
            return;
        }
        notPlaced(refusedRun, reasonCode, retryAfterMillis);
    }

    /**
     * Handles a refusal of a slot. What has begun at a server is kept: the current attempt goes on,
     * and a stream that was interrupted waits for another server.
     */
    private void notPlaced(RunKey key, String reason, long retryAfterMillis) {
        if (isSuccessor(key)) {
            log.noSuccessor(key, currentAttempt, reason);
            lookAgainLater();
        } else if (response.isStreaming()) {
            log.interrupted(key, reason, framer.events());
            interrupt();
        } else {
            failUnplaced(reason, retryAfterMillis);
        }
    }

    private void interrupt() {
        state = State.INTERRUPTED;
        // Silent servers may have gone on meanwhile; where all are excluded, none could be found.
        excluded.removeAll(silentServers);
        silentServers.clear();
        placeAgainNanos = System.nanoTime() + Successor.RETRY_NANOS;
    }

    /** Continues an interrupted stream, as far as the retry budget allows it now. */
    private void resume() {
        retryTaken = retryTaken || retryCharge.tryTake();
        if (retryTaken) {
            place();
        } else {
            interrupt();
        }
    }

    /** Ends a request that is at no server. */
    private void failUnplaced(String reason, long retryAfterMillis) {
        if (retryRule.mayHaveRun()) {
            fail(HttpResponseStatus.BAD_GATEWAY, reason, -1);
        } else {
            fail(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfterMillis);
        }
    }

    @Override
    public void notRun(ServerAttempt attempt, RunReport.Outcome outcome, String detail) {
        retryRule.provedNotRun();
        if (relays.isRelay(attempt.server())) {
            refusedByRelay(attempt, outcome, detail);
            return;
        }
        if (outcome == RunReport.Outcome.UNREACHABLE) {
            context.forwarding()
                    .observe(new ServerReachability.Event.ConnectFailed(attempt.server().id()));
        } else {
            retryCharge.recordReached();
        }
        context.dispatcher().ended(attempt.run(), attempt.end(outcome));
        excluded.add(attempt.server().id());
        attemptFailed(attempt, true, outcome + ":" + detail);
    }

    /** Sends a request that a relay did not run to one more, or ends it with the relay's answer. */
    private void refusedByRelay(ServerAttempt attempt, RunReport.Outcome outcome, String detail) {
        relays.ended(attempt.server());
        RelayRefusal refusal = relays.refused(attempt, outcome);
        charged |= refusal.charged();
        String reason = "relay_" + refusal.kind().name().toLowerCase(Locale.ROOT) + ":" + detail;
        boolean lastWord = refusal.kind() == RelayRefusal.Kind.REFUSED || relays.isRefused();
        if (lastWord && attempt == currentAttempt && !(successor instanceof Successor.Sent)) {
            endSuccessor();
            if (response.isStreaming()) {
                interrupt();
                return;
            }
            long retryAfterMillis =
                    refusal.retryAfterMillis() >= 0
                            ? refusal.retryAfterMillis()
                            : retryAfterMillis();
            boolean overQuota =
                    attempt.isStatus(HttpResponseStatus.TOO_MANY_REQUESTS)
                            && !retryRule.mayHaveRun();
            if (overQuota) {
                fail(HttpResponseStatus.TOO_MANY_REQUESTS, reason, retryAfterMillis);
            } else {
                failUnplaced(reason, retryAfterMillis);
            }
            return;
        }
        attemptFailed(attempt, true, reason);
    }

    @Override
    public void noticed(ServerAttempt attempt, ResponseHeaders responseHeaders) {
        if (relays.isRelay(attempt.server())) {
            return;
        }
        context.forwarding().observe(new ServerReachability.Event.Responded(attempt.server().id()));
        if (responseHeaders.backoffMillis() > 0) {
            log.serverRests(attempt.server().id(), responseHeaders.backoffMillis());
        }
        ServerNotices.Update update =
                context.dispatcher().noticed(attempt.server(), responseHeaders);
        if (update.newlyLeaving()) {
            log.serverLeaving(attempt.server().id());
        }
        if (update.limitChanged()) {
            log.serverLimit(attempt.server().id(), responseHeaders.limit());
        }
    }

    @Override
    public void events(ServerAttempt attempt, HttpResponse head, byte[] events) {
        if (!attempt.hasEvents() || state != State.SENT) {
            return;
        }
        goOnAt(attempt);
        beginStream(attempt, head);
        context.poolActivity(routed.service()).record(System.nanoTime());
        context.dispatcher().streamed(attempt.run(), attempt.streamedMillis());
        response.write(events);
    }

    private void beginStream(ServerAttempt attempt, HttpResponse head) {
        if (attempt.run().equals(run) && !firstEventReported) {
            firstEventReported = true;
            context.dispatcher()
                    .firstEvent(
                            run,
                            Math.max(1, attempt.firstMillis()),
                            attempt.limit(),
                            attempt.brittle());
        }
        if (!response.isStreaming()) {
            context.firstEvent(request.ageMillis(System.nanoTime()));
            response.beginStream(head, attempt.bodyEnd());
        }
    }

    @Override
    public void streamEnded(ServerAttempt attempt, HttpResponse head) {
        goOnAt(attempt);
        beginStream(attempt, head);
        if (response.awaitsStatedEnd() && !attempt.bodyEnd().isStated()) {
            confirmEnd(attempt);
            return;
        }
        context.dispatcher().ended(attempt.run(), attempt.end(RunReport.Outcome.ANSWERED));
        finish(head.status().code(), "answered", response.streamEnd());
        response.endStream();
    }

    /**
     * Lets another server confirm the end of a stream. The caller was told by the first server's
     * response that the end will be stated, and the server that resumed the stream stated none.
     */
    private void confirmEnd(ServerAttempt attempt) {
        recordRun(attempt, RunReport.Outcome.ANSWERED);
        framer.endedWithoutStatement();
        attemptFailed(attempt, false, "end_not_stated");
    }

    @Override
    public void answered(
            ServerAttempt attempt,
            HttpResponse head,
            ResponseHeaders responseHeaders,
            Payload body) {
        int status = head.status().code();
        boolean fault = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        RunReport.Outcome outcome = fault ? RunReport.Outcome.FAILED : RunReport.Outcome.ANSWERED;
        recordRun(attempt, outcome);
        context.poolActivity(routed.service()).record(System.nanoTime());
        boolean mayBePassedOn = responseHeaders.signed() || !impliesNotRun(status);
        if (fault && mayBePassedOn) {
            response.keep(new ServerAnswer(head, body, attempt.bodyEnd()));
        }
        if (response.isStreaming() || fault || (!mayBePassedOn && attempt != currentAttempt)) {
            attemptFailed(attempt, false, "status=" + status);
            return;
        }
        goOnAt(attempt);
        if (!mayBePassedOn) {
            fail(HttpResponseStatus.BAD_GATEWAY, "unproved_" + status, -1);
            return;
        }
        respond(new ServerAnswer(head, body, attempt.bodyEnd()));
    }

    /** Ends a request with the whole answer of a server. */
    private void respond(ServerAnswer answer) {
        finish(answer.head().status().code(), "answered", answer.callerBodyEnd());
        response.send(answer);
    }

    /** Returns whether a status implies to the caller that its request has not run. */
    private static boolean impliesNotRun(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    @Override
    public void broken(ServerAttempt attempt, RunReport.Outcome outcome, String detail) {
        context.forwarding()
                .observe(new ServerReachability.Event.ConnectionBroken(attempt.server().id()));
        recordRun(attempt, outcome);
        attemptFailed(attempt, false, outcome + ":" + detail);
    }

    /** Records the end of an attempt in which the request ran, or may have run. */
    private void recordRun(ServerAttempt attempt, RunReport.Outcome outcome) {
        relays.ended(attempt.server());
        context.dispatcher().ended(attempt.run(), attempt.end(outcome));
        retryRule.ran();
        excluded.add(attempt.server().id());
        charged = true;
        retryCharge.recordReached();
    }

    /** Continues a request one of whose attempts has failed, if it can be continued. */
    private void attemptFailed(ServerAttempt attempt, boolean proved, String reason) {
        if (state == State.DONE) {
            return;
        }
        logFailed(attempt, proved, reason);
        if (attempt != currentAttempt) {
            response.dropLargeAnswer();
            lookAgainLater();
        } else if (successor instanceof Successor.Sent sent) {
            response.dropLargeAnswer();
            continueAt(sent);
        } else {
            framer.dropRest();
            retryOrFail(proved, reason);
        }
    }

    private boolean mayRetry(boolean proved) {
        long remainingMillis = routed.remainingMillis(System.nanoTime());
        boolean resumes = !response.isStreaming() || framer.lastId().isPresent();
        return resumes && retryRule.mayRetry(proved, remainingMillis);
    }

    private void logFailed(ServerAttempt attempt, boolean proved, String reason) {
        log.failedAttempt(
                attempt == null ? run : attempt.run(),
                attempt,
                proved,
                retryRule.attempts(),
                reason,
                routed.content(),
                framer.events());
    }

    /** Sends the request to another server if that is allowed, else ends it. */
    private void retryOrFail(boolean proved, String reason) {
        long nowNanos = System.nanoTime();
        if (mustLeaveToAnotherHost(nowNanos)) {
            endSuccessor();
            failUnplaced(LEAVING, 0);
            return;
        }
        boolean allowed = mayRetry(proved);
        retryTaken = allowed && retryCharge.tryTake();
        firstEventReported = false;
        if (retryTaken) {
            response.dropLargeAnswer();
            continuePlacing();
            return;
        }
        endSuccessor();
        if (allowed && response.isStreaming()) {
            interrupt();
        } else {
            failUnplaced(reason, retryAfterMillis());
        }
    }

    /** Returns when the caller of a request that can't be sent should retry, in milliseconds. */
    private long retryAfterMillis() {
        return context.retryAfterMillis(routed.remainingMillis(System.nanoTime()));
    }

    /** Requests a slot, or goes on waiting for the one that was requested for a successor. */
    private void continuePlacing() {
        if (successor instanceof Successor.Placing placing) {
            successor = NO_SUCCESSOR;
            state = State.PLACING;
            run = placing.run();
        } else {
            place();
        }
    }

    /** Looks for a server that takes the request over from the current one, which is silent. */
    private void lookForSuccessor() {
        RunKey key = context.nextRun();
        successor = new Successor.Placing(key);
        silentServers.add(currentAttempt.server().id());
        excluded.addAll(silentServers);
        requestSlot(key);
    }

    private void lookForSuccessorIfSilent(long nowNanos) {
        if (!isServerSilent(nowNanos)) {
            return;
        }
        retryCharge.recordReached();
        if (mayRetry(false) && retryCharge.hasRetry()) {
            log.silent(run, currentAttempt, nowNanos);
            lookForSuccessor();
        }
    }

    private void lookAgainLater() {
        successor = new Successor.Pausing(System.nanoTime());
    }

    /** Sends the request to a second server; the first one has a short time left to go on. */
    private void sendToSuccessor(RunKey key, PoolServer server, String why) {
        long nowNanos = System.nanoTime();
        if (!isServerSilent(nowNanos) || !mayRetry(false) || !retryCharge.tryTake()) {
            endUnsent(key, RunReport.Outcome.CANCELLED);
            lookAgainLater();
            return;
        }
        EventFramer resumed = framer.resumed();
        ServerAttempt attempt = newAttempt(key, server, resumed, nowNanos);
        successor = new Successor.Sent(attempt, resumed, nowNanos);
        transmit(attempt, why);
    }

    /** Ends all work on the request but that of one attempt, which has sent something. */
    private void goOnAt(ServerAttempt attempt) {
        if (attempt == currentAttempt) {
            endSuccessor();
        } else if (successor instanceof Successor.Sent sent) {
            leaveServer(sent);
        }
    }

    /** Ends the search for another server, as the current one goes on or the request ends. */
    private void endSuccessor() {
        switch (successor) {
            case Successor.None none -> {}
            case Successor.Pausing pausing -> {}
            case Successor.Placing placing -> giveBack(placing.run());
            case Successor.Sent sent -> cancel(sent.attempt());
        }
        successor = NO_SUCCESSOR;
    }

    /** Cancels the attempt at a successor, which may not even have been connected to. */
    private void cancel(ServerAttempt attempt) {
        boolean sent = attempt.pendingSend().wasSent();
        attempt.cancel();
        if (sent) {
            recordRun(attempt, RunReport.Outcome.CANCELLED);
        } else {
            retryRule.provedNotRun();
            relays.ended(attempt.server());
            context.dispatcher().ended(attempt.run(), attempt.end(RunReport.Outcome.CANCELLED));
        }
    }

    /** Abandons the silent server, as another one has taken the request over. */
    private void leaveServer(Successor.Sent sent) {
        ServerAttempt silent = currentAttempt;
        silent.cancel();
        context.forwarding()
                .observe(new ServerReachability.Event.ConnectionBroken(silent.server().id()));
        recordRun(silent, RunReport.Outcome.TIMED_OUT);
        logFailed(silent, false, RunReport.Outcome.TIMED_OUT + ":silent");
        continueAt(sent);
    }

    private void continueAt(Successor.Sent sent) {
        currentAttempt = sent.attempt();
        run = currentAttempt.run();
        framer = sent.framer();
        successor = NO_SUCCESSOR;
        firstEventReported = false;
        currentAttempt.setReading(!readingPaused);
    }

    /** Aborts a stream that has begun and can't be completed. */
    private void abort(String reason) {
        finish(0, "broken_off:" + reason, BodyEnd.UNKNOWN);
        caller.abort();
    }

    /** Ends a request with a response of this host's own. */
    private void fail(HttpResponseStatus status, String reason, long retryAfterMillis) {
        if (response.isStreaming()) {
            abort(reason);
            return;
        }
        if (response.keptAnswer().isPresent()) {
            respond(response.keptAnswer().get());
            return;
        }
        finish(status.code(), reason, BodyEnd.LENGTH);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        if (retryRule == null || !retryRule.mayHaveRun()) {
            relays.markNotRun(headers, reason, charged);
        }
        context.translator().markLocalResponse(headers, callHeaders.id(), retryAfterMillis);
        caller.respond(status, headers, new byte[0]);
    }

    private void finish(int status, String outcome, BodyEnd callerBodyEnd) {
        state = State.DONE;
        relays.finished();
        long totalMillis = request.ageMillis(System.nanoTime());
        context.finished(this, status, totalMillis);
        log.done(
                routed == null ? "none" : routed.route().id().value(),
                workspaceName(),
                status,
                outcome,
                framer.events(),
                retryRule == null ? 0 : retryRule.attempts(),
                currentAttempt,
                callerBodyEnd);
    }

    private String workspaceName() {
        return routed == null ? "none" : routed.workspace().map(WorkspaceId::value).orElse("none");
    }

    /** Ends the request because its caller disconnected. */
    void callerDisconnected() {
        if (state == State.DONE) {
            return;
        }
        abandonAttempts(RunReport.Outcome.CANCELLED);
        finish(0, "caller_left", BodyEnd.UNKNOWN);
    }

    /** Withdraws the pending placements and cancels the running attempts. */
    private void abandonAttempts(RunReport.Outcome outcome) {
        endSuccessor();
        if (state == State.PLACING) {
            giveBack(run);
        } else if (state == State.SENT) {
            currentAttempt.cancel();
            context.dispatcher().ended(run, currentAttempt.end(outcome));
        }
    }

    /** Withdraws a pending placement. */
    private void giveBack(RunKey key) {
        context.dispatcher().withdraw(key);
        // A grant may have arrived whose send is deferred.
        endUnsent(key, RunReport.Outcome.CANCELLED);
    }

    /** Pauses reading from the server while its caller reads nothing, which is no silence. */
    void callerWritable(boolean writable) {
        readingPaused = !writable;
        if (state == State.SENT) {
            currentAttempt.restartSilence();
            currentAttempt.setReading(writable);
        }
    }

    /** Ends the request at its deadline, and looks for another server if this one is silent. */
    void tick(long nowNanos) {
        switch (state) {
            case WAITING_FOR_CONFIG -> {
                if (request.ageMillis(nowNanos) > CONFIG_WAIT_MILLIS) {
                    fail(
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            "no_config",
                            NO_CONFIG_RETRY_MILLIS);
                }
            }
            case PLACING -> {
                if (routed.isOver(nowNanos)) {
                    endOfTime();
                } else if (mustLeaveToAnotherHost(nowNanos)) {
                    returnToCaller();
                }
            }
            case INTERRUPTED -> {
                if (routed.isOver(nowNanos)) {
                    endOfTime();
                } else if (nowNanos - placeAgainNanos >= 0) {
                    resume();
                }
            }
            case SENT -> {
                context.forwarding()
                        .awaitsResponse(
                                currentAttempt.server().id(),
                                currentAttempt.silentMillis(nowNanos));
                if (routed.isOver(nowNanos)) {
                    timeOut();
                } else if (successor instanceof Successor.Sent sent) {
                    watchOverlap(sent, nowNanos);
                } else if (!context.isLate()) {
                    watchServer(nowNanos);
                }
            }
            case DONE -> {}
        }
    }

    /** Forwards the request if it waits for a server that this host could not reach. */
    void serversLost(ServiceId lost) {
        boolean placesSuccessor = successor instanceof Successor.Placing;
        if ((state != State.PLACING && !placesSuccessor)
                || !lost.equals(routed.service())
                || !isForwardable(lost)) {
            return;
        }
        if (placesSuccessor) {
            endSuccessor();
            lookForSuccessor();
        } else {
            context.dispatcher().withdraw(run);
            place();
        }
    }

    private boolean isForwardable(ServiceId lost) {
        return relays.mustRefuse(lost) || relays.next(lost, routed::mayReceiveBody).isPresent();
    }

    private boolean isServerSilent(long nowNanos) {
        return !readingPaused
                && retryRule.isSilent(
                        currentAttempt, context.poolActivity(routed.service()), nowNanos);
    }

    /**
     * Looks for another server while the current one is silent, and leaves it once another has
     * taken the request.
     */
    private void watchServer(long nowNanos) {
        switch (successor) {
            case Successor.None none -> lookForSuccessorIfSilent(nowNanos);
            case Successor.Pausing pausing -> {
                if (pausing.isOver(nowNanos)) {
                    lookForSuccessorIfSilent(nowNanos);
                }
            }
            case Successor.Placing placing -> {
                if (!isServerSilent(nowNanos)) {
                    endSuccessor();
                }
            }
            case Successor.Sent sent -> watchOverlap(sent, nowNanos);
        }
    }

    /** Ends the time in which two servers work on the request. */
    private void watchOverlap(Successor.Sent sent, long nowNanos) {
        if (sent.isOvertakenBy(currentAttempt, nowNanos)) {
            endSuccessor();
        } else if (sent.isOverlapOver(nowNanos)) {
            leaveServer(sent);
        }
    }

    /** Returns whether this host is stopping and must leave a request that never ran to another. */
    private boolean mustLeaveToAnotherHost(long nowNanos) {
        return !retryRule.mayHaveRun()
                && !response.isStreaming()
                && !context.shutdownPolicy()
                        .accepts(routed.callerRemainingMillis(nowNanos), nowNanos);
    }

    private void timeOut() {
        abandonAttempts(
                currentAttempt.hasEvents()
                        ? RunReport.Outcome.CANCELLED
                        : RunReport.Outcome.TIMED_OUT);
        retryRule.ran();
        fail(HttpResponseStatus.GATEWAY_TIMEOUT, "time_over", -1);
    }
}
