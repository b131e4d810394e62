package org.orioleshed.host;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.orioleshed.claim.ClaimCore;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Request;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.StateMachine;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.Work;
import org.orioleshed.request.AcceptedRequests;
import org.orioleshed.request.QuarantinedContent;
import org.orioleshed.request.ServerSelector;
import org.orioleshed.routing.Candidate;
import org.orioleshed.routing.OwnerCore;
import org.orioleshed.routing.RoutingMessage;
import org.orioleshed.routing.ServerChooser;

/**
 * The decisions of one entry host: accepts callers' requests, claims calls that may not be
 * repeated, and owns the queues of its backend servers. Messages from the host to itself are
 * handled before {@link #on} returns. Not thread-safe.
 */
public final class HostCore implements StateMachine<HostEvent, HostAction> {
    /** The longest time that a draining host waits for outcomes to be written to the store. */
    private static final long MAX_OUTCOME_WRITE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final HostId self;
    private final OwnerCore owners;
    private final ServerChooser chooser;
    private final ClaimCore claims;
    private final AcceptedRequests acceptedRequests;
    private final RunEvidence evidence;
    private final Deque<HostEvent> events = new ArrayDeque<>();
    private List<HostAction> actions = new ArrayList<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private long eventNanos;
    private boolean draining;
    private OptionalLong idleSinceNanos = OptionalLong.empty();
    private boolean drained;

    /**
     * Creates a core with an empty fleet snapshot; it needs {@link HostEvent.FleetChanged} before
     * it can place a request.
     *
     * @param self the host
     * @param domain its failure domain
     * @param incarnation the host's incarnation, which increases with each start and is part of the
     *     ids of its requests
     * @param limits the limits for its decisions
     * @param random the source of all randomness; not shared with other users
     */
    public HostCore(
            HostId self,
            FailureDomain domain,
            long incarnation,
            HostLimits limits,
            RandomGenerator random) {
        this.self = self;
        this.owners = new OwnerCore(self, limits.routing());
        this.chooser = new ServerChooser(self, limits.routing());
        this.claims = new ClaimCore(self, limits.claim(), this::emit);
        this.acceptedRequests =
                new AcceptedRequests(
                        self,
                        domain,
                        incarnation,
                        limits.request(),
                        random,
                        new ChooserSelector(),
                        claims,
                        this::emit);
        claims.listener(acceptedRequests);
        this.evidence = new RunEvidence(action -> actions.add(action));
    }

    /**
     * {@inheritDoc}
     *
     * <p>{@link HostAction.Drained} is returned once, as the last action, after {@link
     * HostEvent.DrainRequested}.
     */
    @Override
    public List<HostAction> on(long nowNanos, HostEvent event) {
        actions = new ArrayList<>();
        events.add(event);
        while (!events.isEmpty()) {
            handle(nowNanos, events.poll());
        }
        if (draining && !drained && isDone(nowNanos)) {
            drained = true;
            actions.add(new HostAction.Drained());
        }
        return actions;
    }

    /** Returns the content that is quarantined or suspected, for operators. */
    public List<QuarantinedContent> poison(long nowNanos) {
        return acceptedRequests.poison(nowNanos);
    }

    /**
     * Releases quarantined content on this host and its peers.
     *
     * @return the actions to execute
     */
    public List<HostAction> releasePoison(Fingerprint fingerprint) {
        actions = new ArrayList<>();
        acceptedRequests.releasePoison(fingerprint);
        return actions;
    }

    /** Returns the number of accepted requests in progress. */
    public int requests() {
        return acceptedRequests.size();
    }

    /**
     * Returns whether nothing is left to finish; waits a bounded time for outcomes to be written.
     */
    private boolean isDone(long nowNanos) {
        if (!owners.isIdle() || !acceptedRequests.isIdle()) {
            idleSinceNanos = OptionalLong.empty();
            return false;
        }
        if (idleSinceNanos.isEmpty()) {
            idleSinceNanos = OptionalLong.of(nowNanos);
        }
        return claims.isIdle() || nowNanos - idleSinceNanos.getAsLong() >= MAX_OUTCOME_WRITE_NANOS;
    }

    private void handle(long nowNanos, HostEvent event) {
        eventNanos = nowNanos;
        evidence.onEvent(nowNanos, event);
        switch (event) {
            case HostEvent.FleetChanged changed -> fleet = changed.fleet();
            case HostEvent.DrainRequested drain -> draining = true;
            case HostEvent.RoutingReceived received -> {
                chooser.observe(nowNanos, received.message());
                if (refusePoison(nowNanos, received)) {
                    return;
                }
            }
            default -> {}
        }
        owners.on(nowNanos, event).forEach(this::emitFromOwners);
        claims.on(nowNanos, event);
        acceptedRequests.on(nowNanos, event);
        claims.deliver();
    }

    /** Refuses an offer of quarantined content, whichever host accepted the request. */
    private boolean refusePoison(long nowNanos, HostEvent.RoutingReceived received) {
        if (!(received.message() instanceof RoutingMessage.Offered offered)
                || !acceptedRequests.isQuarantined(nowNanos, offered.offer().fingerprint())) {
            return false;
        }
        RoutingMessage refusal =
                new RoutingMessage.Refused(
                        offered.run(),
                        offered.server(),
                        RoutingMessage.RefusalReason.POISON,
                        false,
                        0);
        emit(new HostAction.SendRouting(received.from(), refusal));
        return true;
    }

    /** Drops the owner core's {@code Drained}, since the host may still have requests to finish. */
    private void emitFromOwners(HostAction action) {
        if (!(action instanceof HostAction.Drained)) {
            emit(action);
        }
    }

    /** Emits an action; turns messages to this host itself into events. */
    private void emit(HostAction action) {
        evidence.onAction(eventNanos, action);
        switch (action) {
            case HostAction.SendRouting send when send.to().equals(self) ->
                    events.add(new HostEvent.RoutingReceived(self, send.message()));
            case HostAction.SendRequest send when send.to().equals(self) ->
                    events.add(new HostEvent.RequestReceived(self, send.message()));
            default -> actions.add(action);
        }
    }

    /** Offers requests to servers in the order of the {@link ServerChooser}. */
    private final class ChooserSelector implements ServerSelector {
        @Override
        public List<Choice> choices(
                long nowNanos,
                Request request,
                Optional<VersionId> version,
                int resumeFromToken,
                Set<ServerId> excluded,
                int count) {
            boolean resumes = resumeFromToken > 0;
            int requested = resumes ? Integer.MAX_VALUE : count;
            List<Candidate> all =
                    chooser.choose(fleet, request, version, excluded, requested, nowNanos);
            List<Candidate> usable = resumes ? resumable(all) : all;
            return usable.stream()
                    .limit(count)
                    .map(c -> new Choice(c.server(), c.owner(), c.toString()))
                    .toList();
        }

        @Override
        public void placed(Request request, ServerId server) {
            if (request.work() instanceof Work.Generate generate) {
                chooser.placed(server, generate.prefixHashes());
            }
        }

        @Override
        public void answered(Request request, int tokens) {
            chooser.answered(request.route(), tokens);
        }

        /** Returns the servers that can resume a stream, or all servers if none can. */
        private List<Candidate> resumable(List<Candidate> all) {
            List<Candidate> capable =
                    all.stream()
                            .filter(
                                    c -> {
                                        BackendServer server = fleet.servers().get(c.server());
                                        return server != null && server.canResume();
                                    })
                            .toList();
            return capable.isEmpty() ? all : capable;
        }
    }
}
