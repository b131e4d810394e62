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
import org.orioleshed.dispatch.ColdBound;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.dispatch.PacingPolicy;
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
import org.orioleshed.quarantine.RequestContent;

/** The policy of this project: {@link Scheduler} as the primary of the pool. */
final class PrimaryPolicy implements TrialPolicy {
    private static final ServiceId SERVICE = new ServiceId("engines");
    private static final FailureDomain DOMAIN = new FailureDomain("d");
    private static final HostId HOST = new HostId("h");

    private final Context context;
    private final Scheduler scheduler =
            new Scheduler(
                    1,
                    Quotas.Slack.NONE,
                    Quotas.Role.PRIMARY,
                    RolloutPolicy.DEFAULT,
                    PacingPolicy.OFF,
                    ColdBound.DEFAULT);
    private final Map<RunKey, TrialRequest> requestsByRun = new HashMap<>();

    PrimaryPolicy(Context context, SimulatedEngine.Spec spec) {
        this.context = context;
        Pool pool = new Pool(SERVICE, true, spec.memoryTokens(), spec.eventTokens());
        apply(0, new DispatchEvent.LimitsChanged(Map.of(SERVICE, pool), Map.of()));
        List<PoolServer> servers = new ArrayList<>();
        for (int engine = 0; engine < context.engines(); engine++) {
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
    public void onArrival(TrialRequest request, long nowNanos) {
        RunKey run = runKey(request);
        requestsByRun.put(run, request);
        apply(
                nowNanos,
                new DispatchEvent.PlacementRequested(run, placementRequest(request, nowNanos)));
    }

    private static RunKey runKey(TrialRequest request) {
        return new RunKey(HOST, request.id * 8 + request.retries);
    }

    private static PlacementRequest placementRequest(TrialRequest request, long nowNanos) {
        return new PlacementRequest(
                SERVICE,
                new RouteId(request.kind.name()),
                Optional.empty(),
                DOMAIN,
                request.kind.rank(),
                request.remainingTargetMillis(nowNanos),
                request.remainingMillis(nowNanos),
                request.kind.promptTokens(),
                request.kind.outputTokens(),
                0,
                RequestContent.whole(request.id),
                Set.of());
    }

    private void apply(long nowNanos, DispatchEvent event) {
        for (DispatchAction action : scheduler.on(nowNanos, event)) {
            switch (action) {
                case DispatchAction.Grant grant ->
                        context.send(
                                requestsByRun.get(grant.run()),
                                Integer.parseInt(grant.server().value()));
                case DispatchAction.Refuse refuse ->
                        context.refuse(requestsByRun.get(refuse.run()), refuse.retryAfterMillis());
                case DispatchAction.Queued queued -> {}
                case DispatchAction.QuarantineChanged changed -> {}
                case DispatchAction.Note note -> {}
            }
        }
    }

    @Override
    public void onFirstEvent(TrialRequest request, long nowNanos) {
        long firstEventMillis = (nowNanos - request.sentNanos) / SimulatedEngine.NANOS_PER_MILLI;
        apply(nowNanos, new DispatchEvent.First(runKey(request), Math.max(1, firstEventMillis)));
    }

    @Override
    public void onCompleted(TrialRequest request, int events, long nowNanos) {
        long firstEventMillis =
                (request.firstEventNanos - request.sentNanos) / SimulatedEngine.NANOS_PER_MILLI;
        long totalMillis = (nowNanos - request.sentNanos) / SimulatedEngine.NANOS_PER_MILLI;
        RunReport report =
                new RunReport(RunReport.Outcome.ANSWERED, events, firstEventMillis, totalMillis);
        apply(nowNanos, new DispatchEvent.Ended(runKey(request), report));
    }

    @Override
    public void onCallerLeft(TrialRequest request, long nowNanos) {
        apply(nowNanos, new DispatchEvent.Withdrawn(runKey(request)));
    }

    @Override
    public void onTick(long nowNanos) {
        apply(nowNanos, new DispatchEvent.Tick());
    }
}
