package org.orioleshed.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.WorkspaceConfig;
import org.orioleshed.dispatch.PlacementRequest;

/**
 * Holds new requests back while the event loop is late, and serves or refuses them as {@link
 * LoadShedder} decides. Used on the data thread only.
 */
final class StartQueue {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A refusal must reach the caller within this fraction of the route's latency target. */
    private static final int TARGET_FRACTIONS = 8;

    private final EventLoop loop;
    private final LoopLag lag;
    private final GatewayContext context;
    private final IntSupplier begun;
    private final LoadShedder<PendingStart> shedder;
    private final Counter shed;
    private final Counter answers;
    private boolean roundScheduled;
    private boolean shedding;
    private long sheddingFrom;

    /** A request that was read and waits to be served. */
    static final class PendingStart {
        private final CallerConnection connection;
        private final CallerRequest request;
        private final String id;

        PendingStart(CallerConnection connection, CallerRequest request, String id) {
            this.connection = connection;
            this.request = request;
            this.id = id;
        }
    }

    /**
     * Creates an empty queue.
     *
     * @param lag how late the event loop is
     * @param begun returns the number of requests that are served and have not ended
     */
    StartQueue(
            EventLoop loop,
            LoopLag lag,
            GatewayContext context,
            IntSupplier begun,
            MetricRegistry metrics) {
        this.loop = loop;
        this.lag = lag;
        this.context = context;
        this.begun = begun;
        this.shedder = new LoadShedder<>(context.random().nextDouble());
        this.shed = metrics.counter("requests_shed");
        this.answers = metrics.counter("answers.503");
    }

    /** Returns the handle of a request that must wait; empty if it is to be served now. */
    Optional<PendingStart> hold(CallerConnection connection, CallerRequest request) {
        long nowNanos = System.nanoTime();
        if (!shedder.mustWait(lag.isLate(nowNanos))) {
            return Optional.empty();
        }
        Optional<Catalog> catalog = context.snapshot().usable();
        Optional<CallRoute> route =
                catalog.flatMap(it -> it.route(request.hostName(), request.path()));
        if (route.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(hold(connection, request, catalog.get(), route.get(), nowNanos));
    }

    private PendingStart hold(
            CallerConnection connection,
            CallerRequest request,
            Catalog catalog,
            CallRoute route,
            long nowNanos) {
        HeaderTranslator.BriefHeaders headers = context.translator().readBriefly(request.headers());
        int workspaceRank =
                headers.key()
                        .flatMap(catalog.access()::holder)
                        .flatMap(WorkspaceConfig::priority)
                        .orElse(0);
        long waitMillis = route.timeoutMillis();
        if (headers.deadlineMillis() >= 0) {
            waitMillis = Math.min(waitMillis, headers.deadlineMillis());
        }
        PendingStart pending = new PendingStart(connection, request, headers.id());
        shedder.arrive(
                new LoadShedder.Arrival<>(
                        pending,
                        PlacementRequest.rank(workspaceRank, route.priority()),
                        nowNanos,
                        request.arrivedNanos() + waitMillis * NANOS_PER_MILLI,
                        route.targetMillis() * NANOS_PER_MILLI / TARGET_FRACTIONS));
        if (!roundScheduled) {
            roundScheduled = true;
            loop.execute(this::round);
        }
        return pending;
    }

    /** Removes a request, whose caller disconnected. */
    void withdraw(PendingStart pending) {
        shedder.withdraw(pending);
    }

    /** Refuses a request, as this host stops serving; its caller may come back at once. */
    void refuse(PendingStart pending) {
        shedder.withdraw(pending);
        refuse(pending, 0);
    }

    private void round() {
        roundScheduled = false;
        shedder.beginRound(System.nanoTime(), lag.lagNanos(), begun.getAsInt());
        long refusedBefore = shedder.refused();
        Optional<LoadShedder.Action<PendingStart>> action = shedder.next(System.nanoTime());
        while (action.isPresent()) {
            act(action.get());
            action = shedder.next(System.nanoTime());
        }
        logChange(shedder.refused() > refusedBefore);
        if (shedder.waiting() > 0 && !roundScheduled) {
            roundScheduled = true;
            // A scheduled task runs after the next poll; one that is executed would run before it.
            var unused = loop.schedule(this::round, 1, TimeUnit.MICROSECONDS);
        }
    }

    private void act(LoadShedder.Action<PendingStart> action) {
        CallerConnection connection =
                switch (action) {
                    case LoadShedder.Serve<PendingStart> serve -> serve.request().connection;
                    case LoadShedder.Refuse<PendingStart> refuse -> refuse.request().connection;
                };
        try {
            serveOrRefuse(action);
        } catch (RuntimeException e) {
            // The other requests still need their rounds.
            connection.failed(e);
        }
    }

    private void serveOrRefuse(LoadShedder.Action<PendingStart> action) {
        switch (action) {
            case LoadShedder.Serve<PendingStart> serve ->
                    serve.request().connection.serve(serve.request().request);
            case LoadShedder.Refuse<PendingStart> refuse ->
                    refuse(refuse.request(), refuse.retryAfterMillis());
        }
    }

    private void refuse(PendingStart pending, long retryAfterMillis) {
        shed.inc();
        answers.inc();
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        context.translator().markLocalResponse(headers, pending.id, retryAfterMillis);
        pending.connection.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, headers);
    }

    /** Logs the begin and the end of a period in which requests are refused. */
    private void logChange(boolean refused) {
        if (refused && !shedding) {
            shedding = true;
            sheddingFrom = shedder.refused();
            context.log(
                    "event=shedding waiting=%d begun=%d lag_ms=%d"
                            .formatted(
                                    shedder.waiting(),
                                    begun.getAsInt(),
                                    lag.lagNanos() / NANOS_PER_MILLI));
        } else if (shedding && shedder.waiting() == 0) {
            shedding = false;
            context.log(
                    "event=shedding_ended refused=%d"
                            .formatted(shedder.refused() - sheddingFrom + 1));
        }
    }
}
