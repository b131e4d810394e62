package org.orioleshed.trial;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.dispatch.PlacementRequest;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RolloutPolicy;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.dispatch.Scheduler;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;

/** The product's own decisions: {@link Scheduler} as the primary of the pool. */
final class PrimaryPolicy implements Policy {
    private static final ServiceId SERVICE = new ServiceId("engines");
    private static final FailureDomain DOMAIN = new FailureDomain("d");
    private static final HostId HOST = new HostId("h");

    private final Floor floor;
    private final Scheduler scheduler =
            new Scheduler(1, Quotas.Slack.NONE, Quotas.Role.PRIMARY, RolloutPolicy.DEFAULT);
    private final Map<RunKey, TrialRequest> requested = new HashMap<>();

    PrimaryPolicy(Floor floor, ModelEngine.Spec spec) {
        this.floor = floor;
        Pool pool = new Pool(SERVICE, true, spec.memoryTokens(), spec.eventTokens());
        apply(0, new DispatchEvent.LimitsChanged(Map.of(SERVICE, pool), Map.of()));
        List<PoolServer> servers = new ArrayList<>();
        for (int engine = 0; engine < floor.engines(); engine++) {
            servers.add(server(engine, spec.slots()));
        }
        apply(0, new DispatchEvent.ServersChanged(servers));
    }

    private static PoolServer server(int engine, int slots) {
        return new PoolServer(
                new ServerId(Integer.toString(engine)),
                SERVICE,
                InetSocketAddress.createUnresolved("e" + engine, 1),
                DOMAIN,
                new VersionId("v"),
                slots,
                false,
                1);
    }

    @Override
    public void came(TrialRequest request, long nowNanos) {
        RunKey run = key(request);
        requested.put(run, request);
        apply(
                nowNanos,
                new DispatchEvent.PlacementRequested(run, placementRequest(request, nowNanos)));
    }

    private static RunKey key(TrialRequest request) {
        return new RunKey(HOST, request.number * 8 + request.attempts);
    }

    private static PlacementRequest placementRequest(TrialRequest request, long nowNanos) {
        return new PlacementRequest(
                SERVICE,
                new RouteId(request.kind.name()),
                Optional.empty(),
                DOMAIN,
                request.kind.rank(),
                request.aimLeftMillis(nowNanos),
                request.leftMillis(nowNanos),
                request.kind.promptTokens(),
                request.kind.outputTokens(),
                0,
                request.number,
                Set.of());
    }

    private void apply(long nowNanos, DispatchEvent event) {
        for (DispatchAction action : scheduler.on(nowNanos, event)) {
            TrialRequest request = requested.get(action.run());
            switch (action) {
                case DispatchAction.Grant grant ->
                        floor.send(request, Integer.parseInt(grant.server().value()));
                case DispatchAction.Refuse refuse ->
                        floor.refuse(request, refuse.retryAfterMillis());
                case DispatchAction.Queued queued -> {}
            }
        }
    }

    @Override
    public void first(TrialRequest request, long nowNanos) {
        long millis = (nowNanos - request.sentNanos) / ModelEngine.NANOS_PER_MILLI;
        apply(nowNanos, new DispatchEvent.First(key(request), Math.max(1, millis)));
    }

    @Override
    public void ended(TrialRequest request, int events, long nowNanos) {
        long firstMillis = (request.firstNanos - request.sentNanos) / ModelEngine.NANOS_PER_MILLI;
        long totalMillis = (nowNanos - request.sentNanos) / ModelEngine.NANOS_PER_MILLI;
        RunReport report =
                new RunReport(RunReport.Outcome.ANSWERED, events, firstMillis, totalMillis);
        apply(nowNanos, new DispatchEvent.Ended(key(request), report));
    }

    @Override
    public void left(TrialRequest request, long nowNanos) {
        apply(nowNanos, new DispatchEvent.Withdrawn(key(request)));
    }

    @Override
    public void tick(long nowNanos) {
        apply(nowNanos, new DispatchEvent.Tick());
    }
}
