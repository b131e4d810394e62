package org.orioleshed.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.Quota;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.quarantine.RequestContent;

/** Drives a scheduler with one pool step by step. */
final class SchedulerFixture {
    static final ServiceId SERVICE = new ServiceId("writers");
    static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    static final FailureDomain NEAR = new FailureDomain("near");
    static final FailureDomain FAR = new FailureDomain("far");
    static final HostId HOST = new HostId("10.0.0.1");
    private static final long NANOS_PER_MILLI = 1_000_000;

    final Scheduler scheduler;
    final List<DispatchAction> actions = new ArrayList<>();
    private final List<PoolServer> servers = new ArrayList<>();
    private Set<FailureDomain> evacuated = Set.of();
    private long nowNanos = 1_000_000_000L;
    private long wallMillis;

    SchedulerFixture() {
        this(Quotas.Role.PRIMARY);
    }

    SchedulerFixture(Quotas.Role role) {
        this(role, PacingPolicy.OFF, ColdBound.DEFAULT);
    }

    SchedulerFixture(PacingPolicy pacing) {
        this(Quotas.Role.PRIMARY, pacing, ColdBound.DEFAULT);
    }

    SchedulerFixture(Quotas.Role role, ColdBound coldBound) {
        this(role, PacingPolicy.OFF, coldBound);
    }

    private SchedulerFixture(Quotas.Role role, PacingPolicy pacing, ColdBound coldBound) {
        scheduler =
                new Scheduler(1, Quotas.Slack.NONE, role, RolloutPolicy.DEFAULT, pacing, coldBound);
        pool(1_000_000);
    }

    /** Sets the wall-clock time, in Unix milliseconds. */
    SchedulerFixture wallClock(long millis) {
        wallMillis = millis;
        return this;
    }

    SchedulerFixture pool(long memoryTokens) {
        Pool pool = new Pool(SERVICE, true, memoryTokens, 7);
        return send(new DispatchEvent.LimitsChanged(Map.of(SERVICE, pool), Map.of()));
    }

    SchedulerFixture quota(double perSecond, double burst) {
        Pool pool = new Pool(SERVICE, true, 1_000_000, 7);
        Quota quota = new Quota(perSecond, burst, true, 200);
        return send(
                new DispatchEvent.LimitsChanged(Map.of(SERVICE, pool), Map.of(WORKSPACE, quota)));
    }

    SchedulerFixture server(String id, int slots) {
        return server(id, slots, NEAR, false);
    }

    SchedulerFixture server(String id, int slots, FailureDomain domain, boolean draining) {
        servers.removeIf(server -> server.id().value().equals(id));
        servers.add(server(id, slots, domain, draining, 1));
        return send(new DispatchEvent.ServersChanged(servers, evacuated, wallMillis));
    }

    /** Adds a server with a given start time. */
    SchedulerFixture serverWithStart(String id, int slots, long startMillis) {
        servers.removeIf(server -> server.id().value().equals(id));
        servers.add(server(id, slots, NEAR, false, startMillis));
        return send(new DispatchEvent.ServersChanged(servers, evacuated, wallMillis));
    }

    /** Sets the evacuated failure domains. */
    SchedulerFixture evacuate(Set<FailureDomain> domains) {
        evacuated = domains;
        return send(new DispatchEvent.ServersChanged(servers, evacuated, wallMillis));
    }

    /** Adds a server with a given version. */
    SchedulerFixture serverOfVersion(String id, int slots, FailureDomain domain, String version) {
        PoolServer other = server(id, slots, domain, false, 1);
        servers.add(
                new PoolServer(
                        other.id(),
                        other.service(),
                        other.address(),
                        domain,
                        new VersionId(version),
                        slots,
                        false,
                        1));
        return send(new DispatchEvent.ServersChanged(servers, evacuated, wallMillis));
    }

    /** Returns a server in the near domain. */
    static PoolServer poolServer(String id, int slots) {
        return server(id, slots, NEAR, false, 1);
    }

    private static PoolServer server(
            String id, int slots, FailureDomain domain, boolean draining, long startMillis) {
        return new PoolServer(
                new ServerId(id),
                SERVICE,
                new InetSocketAddress("10.0.1.1", 80),
                domain,
                new VersionId("v1"),
                slots,
                draining,
                startMillis);
    }

    SchedulerFixture removeServer(String id) {
        servers.removeIf(server -> server.id().value().equals(id));
        return send(new DispatchEvent.ServersChanged(servers, evacuated, wallMillis));
    }

    SchedulerFixture request(int run, int rank) {
        return request(run, request(rank, 600, 10_000, 1_000, 100));
    }

    SchedulerFixture request(int run, PlacementRequest request) {
        return send(new DispatchEvent.PlacementRequested(key(run), request));
    }

    SchedulerFixture first(int run, long millis) {
        return send(new DispatchEvent.First(key(run), millis));
    }

    SchedulerFixture first(int run, StatedLimit limit) {
        return send(new DispatchEvent.First(key(run), 80, limit));
    }

    SchedulerFixture end(int run, RunReport.Outcome outcome, StatedLimit limit) {
        return send(new DispatchEvent.Ended(key(run), new RunReport(outcome, 10, 80, 400, limit)));
    }

    SchedulerFixture end(int run, RunReport.Outcome outcome) {
        return send(new DispatchEvent.Ended(key(run), new RunReport(outcome, 10, 80, 400)));
    }

    SchedulerFixture advance(long millis) {
        nowNanos += millis * NANOS_PER_MILLI;
        return send(new DispatchEvent.Tick());
    }

    SchedulerFixture send(DispatchEvent event) {
        actions.addAll(scheduler.on(nowNanos, event));
        return this;
    }

    static RunKey key(int run) {
        return new RunKey(HOST, run);
    }

    static PlacementRequest request(
            int rank, long target, long deadline, long prompt, long output) {
        return request(rank, target, deadline, prompt, output, Set.of());
    }

    static PlacementRequest request(
            int rank,
            long target,
            long deadline,
            long prompt,
            long output,
            Set<ServerId> excluded) {
        RequestContent content = RequestContent.whole(prompt);
        return request(rank, target, deadline, prompt, output, content, excluded);
    }

    /** Returns a model request whose content is that of no other run. */
    static PlacementRequest requestOf(int run, long deadline, Set<ServerId> excluded) {
        return request(0, 600, deadline, 1_000, 100, RequestContent.whole((long) run), excluded);
    }

    /** Returns a model request with the given content. */
    static PlacementRequest request(RequestContent content) {
        return request(0, 600, 10_000, 1_000, 100, content, Set.of());
    }

    private static PlacementRequest request(
            int rank,
            long target,
            long deadline,
            long prompt,
            long output,
            RequestContent content,
            Set<ServerId> excluded) {
        return new PlacementRequest(
                SERVICE,
                new RouteId("r"),
                Optional.of(WORKSPACE),
                NEAR,
                rank,
                target,
                deadline,
                prompt,
                output,
                prompt + output,
                content,
                excluded);
    }

    /** Returns the server that a run was granted, or null. */
    String grantedServer(int run) {
        return actions.stream()
                .filter(DispatchAction.Grant.class::isInstance)
                .map(DispatchAction.Grant.class::cast)
                .filter(grant -> grant.run().equals(key(run)))
                .map(grant -> grant.server().value())
                .findFirst()
                .orElse(null);
    }

    /** Returns the refusal of a run, or null. */
    DispatchAction.Refuse refusalOf(int run) {
        return actions.stream()
                .filter(DispatchAction.Refuse.class::isInstance)
                .map(DispatchAction.Refuse.class::cast)
                .filter(refuse -> refuse.run().equals(key(run)))
                .findFirst()
                .orElse(null);
    }

    /** Returns the number of grants of a server. */
    long grantsOf(String server) {
        return actions.stream()
                .filter(DispatchAction.Grant.class::isInstance)
                .map(DispatchAction.Grant.class::cast)
                .filter(grant -> grant.server().value().equals(server))
                .count();
    }

    /** Returns the log lines of an event. */
    List<String> notes(String event) {
        return actions.stream()
                .filter(DispatchAction.Note.class::isInstance)
                .map(action -> ((DispatchAction.Note) action).line())
                .filter(line -> line.startsWith("event=" + event + " "))
                .toList();
    }

    /** Returns the granted runs in order. */
    List<Long> granted() {
        return actions.stream()
                .filter(DispatchAction.Grant.class::isInstance)
                .map(DispatchAction.Grant.class::cast)
                .map(action -> action.run().number())
                .toList();
    }
}
