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
import org.orioleshed.request.Placement;
import org.orioleshed.request.QuarantinedContent;
import org.orioleshed.routing.Candidate;
import org.orioleshed.routing.OwnerCore;
import org.orioleshed.routing.RoutingMessage;
import org.orioleshed.routing.ServerChooser;

/**
 * All decisions of one entry host: the accepting side of its callers' requests, the claims of calls
 * that may not be repeated, and the owners of its backend servers. Messages of the host to itself
 * are handled at once, before {@link #on} returns. Not safe for use by several threads.
 */
public final class HostCore implements StateMachine<HostEvent, HostAction> {
    /** How long a host that shuts down waits for outcomes to be recorded. */
    private static final long MAX_RECORDING_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final HostId self;
    private final OwnerCore owners;
    private final ServerChooser chooser;
    private final ClaimCore claims;
    private final AcceptedRequests accepting;
    private final RunEvidence evidence;
    private final Deque<HostEvent> events = new ArrayDeque<>();
    private List<HostAction> actions = new ArrayList<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private long eventNanos;
    private boolean draining;
    private OptionalLong idleSinceNanos = OptionalLong.empty();
    private boolean drained;

    /**
     * Makes the core of a host that has heard nothing yet: it needs {@link HostEvent.FleetChanged}
     * before it can place a request.
     *
     * @param self the host
     * @param domain its failure domain
     * @param incarnation the host's incarnation, which grows with each start; the ids of its
     *     requests carry it
     * @param limits the bounds to keep to
     * @param random the source of all randomness, for this core alone
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
        this.claims = new ClaimCore(self, limits.claim(), this::act);
        this.accepting =
                new AcceptedRequests(
                        self,
                        domain,
                        incarnation,
                        limits.request(),
                        random,
                        new Chosen(),
                        claims,
                        this::act);
        claims.listener(accepting);
        this.evidence = new RunEvidence(action -> actions.add(action));
    }

    /**
     * {@inheritDoc}
     *
     * <p>{@link HostAction.Drained} comes once, as the last action, after {@link
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

    /** Returns the content that is held or under suspicion, for operators. */
    public List<QuarantinedContent> poison(long nowNanos) {
        return accepting.poison(nowNanos);
    }

    /**
     * Releases content that is held, on this host and its peers.
     *
     * @return what to do about it
     */
    public List<HostAction> releasePoison(Fingerprint fingerprint) {
        actions = new ArrayList<>();
        accepting.releasePoison(fingerprint);
        return actions;
    }

    /** Returns the number of accepted requests under way. */
    public int requests() {
        return accepting.size();
    }

    /** Returns whether nothing is left to finish; outcomes are waited for a bounded time only. */
    private boolean isDone(long nowNanos) {
        if (!owners.isIdle() || !accepting.isIdle()) {
            idleSinceNanos = OptionalLong.empty();
            return false;
        }
        if (idleSinceNanos.isEmpty()) {
            idleSinceNanos = OptionalLong.of(nowNanos);
        }
        return claims.isIdle() || nowNanos - idleSinceNanos.getAsLong() >= MAX_RECORDING_NANOS;
    }

    private void handle(long nowNanos, HostEvent event) {
        eventNanos = nowNanos;
        evidence.before(nowNanos, event);
        switch (event) {
            case HostEvent.FleetChanged changed -> fleet = changed.fleet();
            case HostEvent.DrainRequested asked -> draining = true;
            case HostEvent.RoutingReceived received -> {
                chooser.observe(nowNanos, received.message());
                if (refusePoison(nowNanos, received)) {
                    return;
                }
            }
            default -> {}
        }
        owners.on(nowNanos, event).forEach(this::actOfOwners);
        claims.on(nowNanos, event);
        accepting.on(nowNanos, event);
        claims.deliver();
    }

    /** Refuses an offer of content that is held, whoever accepted it. */
    private boolean refusePoison(long nowNanos, HostEvent.RoutingReceived received) {
        if (!(received.message() instanceof RoutingMessage.Offered offered)
                || !accepting.isQuarantined(nowNanos, offered.offer().fingerprint())) {
            return false;
        }
        RoutingMessage refusal =
                new RoutingMessage.Refused(
                        offered.run(),
                        offered.server(),
                        RoutingMessage.RefusalReason.POISON,
                        false,
                        0);
        act(new HostAction.SendRouting(received.from(), refusal));
        return true;
    }

    /** The owner core being drained is not the host being drained. */
    private void actOfOwners(HostAction action) {
        if (!(action instanceof HostAction.Drained)) {
            act(action);
        }
    }

    /** Hands an action out; messages to this host itself become events. */
    private void act(HostAction action) {
        evidence.after(eventNanos, action);
        switch (action) {
            case HostAction.SendRouting send when send.to().equals(self) ->
                    events.add(new HostEvent.RoutingReceived(self, send.message()));
            case HostAction.SendRequest send when send.to().equals(self) ->
                    events.add(new HostEvent.RequestReceived(self, send.message()));
            default -> actions.add(action);
        }
    }

    /** Offers follow the chooser's order. */
    private final class Chosen implements Placement {
        @Override
        public List<Choice> choices(
                long nowNanos,
                Request request,
                Optional<VersionId> version,
                int resumeFromToken,
                Set<ServerId> excluded,
                int count) {
            boolean resumes = resumeFromToken > 0;
            int wanted = resumes ? Integer.MAX_VALUE : count;
            List<Candidate> all =
                    chooser.choose(fleet, request, version, excluded, wanted, nowNanos);
            List<Candidate> fit = resumes ? resumable(all) : all;
            return fit.stream()
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

        /** Returns the servers that can resume a stream, or all when none can. */
        private List<Candidate> resumable(List<Candidate> all) {
            List<Candidate> able =
                    all.stream()
                            .filter(
                                    c -> {
                                        BackendServer server = fleet.servers().get(c.server());
                                        return server != null && server.canResume();
                                    })
                            .toList();
            return able.isEmpty() ? all : able;
        }
    }
}
