package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Request;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.Work;
import org.orioleshed.routing.RoutingMessage.DomainLoads;
import org.orioleshed.routing.RoutingMessage.ModelLoad;
import org.orioleshed.routing.RoutingMessage.Refused;
import org.orioleshed.routing.RoutingMessage.ServerLoad;
import org.orioleshed.routing.RoutingMessage.ServerLoads;

/**
 * Chooses, on the host that accepted a request, the backend servers to offer it to. The score of a
 * server is the sum of the expected wait, the prefill time of the uncached part of the prompt, and
 * the generation time of the answer at the server's current speed. Not thread-safe.
 */
public final class ServerChooser {
    private static final int MAX_PREFIX_BLOCKS = 1 << 15;
    private static final int DEFAULT_OUTPUT_TOKENS = 150;

    /**
     * The maximum number of servers scored for one request, separately in the own and in all remote
     * failure domains.
     */
    private static final int MAX_SAMPLED_SERVERS = 32;

    /**
     * Scores are compared in steps of this size, so that hosts with the same load reports choose
     * different servers.
     */
    private static final long SCORE_STEP_MILLIS = 10;

    private static final long REMOTE_DOMAIN_MILLIS = 20;
    private static final long SUSPECT_PENALTY_MILLIS = 2_000;
    private static final long SLOW_STREAM_PENALTY_MILLIS = 4_000;
    private static final long UNLISTED_SERVER_MILLIS = 300;
    private static final long AVOID_NANOS = 1_000_000_000L;

    private final HostId self;
    private final RoutingLimits limits;
    private final PrefixHistory prefixes = new PrefixHistory(MAX_PREFIX_BLOCKS);
    private final Map<RouteId, LengthEstimate> lengths = new HashMap<>();
    private ServerIndex index = ServerIndex.EMPTY;
    private long nextIndex;

    /**
     * Creates a chooser without load reports.
     *
     * @param self the host that accepts the requests
     * @param limits the policy and its targets
     */
    public ServerChooser(HostId self, RoutingLimits limits) {
        this.self = self;
        this.limits = limits;
    }

    /**
     * Updates the server views from load reports, and from refusals by servers that take no work.
     * Other messages are ignored.
     *
     * @param nowNanos the time on the host's monotonic clock
     * @param message the message
     */
    public void observe(long nowNanos, RoutingMessage message) {
        switch (message) {
            case ServerLoads loads -> loads.loads().forEach(this::observeLoad);
            case DomainLoads loads -> loads.loads().forEach(load -> observeDomain(loads, load));
            case Refused refused -> observeRefusal(nowNanos, refused);
            default -> {}
        }
    }

    /**
     * Records that a request was placed on {@code server}, which will cache its prefixes.
     *
     * @param server the server that granted a slot
     * @param prefixHashes the request's prefixes, as in {@link Work.Generate}
     */
    public void placed(ServerId server, List<Long> prefixHashes) {
        prefixes.sent(server, prefixHashes);
        index.server(server).ifPresent(ServerView::recordSent);
    }

    /**
     * Records the length of a whole answer, to estimate the answers on the same route.
     *
     * @param route the route
     * @param tokens the length, in tokens
     */
    public void answered(RouteId route, int tokens) {
        lengths.computeIfAbsent(route, r -> new LengthEstimate()).add(tokens);
    }

    /**
     * Returns the expected length of the answer to {@code request}, in tokens: the mean on its
     * route, at most the request's output limit; zero for a call to a plain service.
     */
    public int expectedTokens(Request request) {
        if (!(request.work() instanceof Work.Generate generate)) {
            return 0;
        }
        LengthEstimate estimate = lengths.get(request.route());
        int expected = estimate == null ? DEFAULT_OUTPUT_TOKENS : estimate.meanTokens();
        return Math.min(expected, generate.maxOutputTokens());
    }

    /**
     * Returns servers for {@code request}, the best first. When more than one is requested, the
     * server with the longest cached prefix of the prompt is included. Empty when no server of the
     * route takes work.
     *
     * @param fleet the host's current fleet snapshot
     * @param request the request
     * @param version the version to run, or empty for any version
     * @param excluded servers that must not be returned
     * @param count the maximum number of servers to return, positive; {@link Integer#MAX_VALUE} for
     *     all
     * @param nowNanos the time on the host's monotonic clock
     */
    public List<Candidate> choose(
            FleetSnapshot fleet,
            Request request,
            Optional<VersionId> version,
            Set<ServerId> excluded,
            int count,
            long nowNanos) {
        if (count <= 0) {
            throw new IllegalArgumentException("count must be positive, found " + count);
        }
        index = index.withFleet(self, fleet);
        Route route = fleet.routes().get(request.route());
        if (route == null) {
            return List.of();
        }
        ServerIndex.Pool pool = index.pool(route.target(), version);
        if (limits.policy() == Policy.NAIVE) {
            return roundRobin(pool, excluded, count);
        }
        Scoring scoring = scoring(fleet, request, nowNanos);
        List<Candidate> scored = new ArrayList<>();
        boolean all = count >= MAX_SAMPLED_SERVERS;
        score(scoring, sample(pool.near(), scoring.salt(), all), excluded, scored);
        score(scoring, far(pool, scoring, all), excluded, scored);
        scoring.cached().keySet().stream()
                .flatMap(id -> index.server(id).stream())
                .filter(view -> runs(view, route.target(), version))
                .filter(view -> absent(scored, view))
                .forEach(view -> score(scoring, List.of(view), excluded, scored));
        scored.sort(order(scoring));
        return best(scored, scoring, count);
    }

    private Scoring scoring(FleetSnapshot fleet, Request request, long nowNanos) {
        Map<ServerId, Integer> cached =
                request.work() instanceof Work.Generate generate
                        ? prefixes.cachedTokens(generate.prefixHashes())
                        : Map.of();
        int promptTokens =
                request.work() instanceof Work.Generate generate ? generate.promptTokens() : 0;
        return new Scoring(
                fleet,
                request.tier().rank(),
                promptTokens,
                expectedTokens(request),
                cached,
                HashMix.mix(request.id().sequence() ^ request.id().host().hashCode()),
                nowNanos);
    }

    private void score(
            Scoring scoring,
            List<ServerView> servers,
            Set<ServerId> excluded,
            List<Candidate> into) {
        for (ServerView view : servers) {
            if (!excluded.contains(view.server().id())) {
                into.add(candidate(scoring, view));
            }
        }
    }

    private Candidate candidate(Scoring scoring, ServerView view) {
        ServerId id = view.server().id();
        int cached = scoring.cached().getOrDefault(id, 0);
        int uncached = Math.max(0, scoring.promptTokens() - cached);
        long waitMillis = view.waitMillis(scoring.rank());
        long gapMillis = view.tokenGapMillis();
        long scoreMillis =
                waitMillis + view.prefillMillis(uncached) + scoring.outputTokens() * gapMillis;
        if (scoring.rank() == 0 && gapMillis > limits.tokenGapMillis()) {
            scoreMillis += SLOW_STREAM_PENALTY_MILLIS;
        }
        EntryHost owner = scoring.fleet().hosts().get(view.owner());
        if (owner == null || owner.state() == EntryHost.State.SUSPECT) {
            scoreMillis += SUSPECT_PENALTY_MILLIS;
        }
        if (view.avoided(scoring.nowNanos())) {
            scoreMillis += SUSPECT_PENALTY_MILLIS;
        }
        EntryHost own = scoring.fleet().hosts().get(self);
        if (own != null && !own.domain().equals(view.server().domain())) {
            scoreMillis += REMOTE_DOMAIN_MILLIS;
        }
        return new Candidate(id, view.owner(), scoreMillis, waitMillis, uncached);
    }

    private static Comparator<Candidate> order(Scoring scoring) {
        return Comparator.comparingLong((Candidate c) -> c.scoreMillis() / SCORE_STEP_MILLIS)
                .thenComparingLong(c -> HashMix.mix(scoring.salt() ^ c.server().hashCode()))
                .thenComparing(Candidate::server);
    }

    private static List<Candidate> best(List<Candidate> sorted, Scoring scoring, int count) {
        if (sorted.size() <= count) {
            return List.copyOf(sorted);
        }
        List<Candidate> best = new ArrayList<>(sorted.subList(0, count));
        Candidate mostCached = null;
        for (Candidate candidate : sorted) {
            boolean hasCachedPrefix = candidate.uncachedTokens() < scoring.promptTokens();
            boolean hasMoreCached =
                    mostCached == null || candidate.uncachedTokens() < mostCached.uncachedTokens();
            if (hasCachedPrefix && hasMoreCached) {
                mostCached = candidate;
            }
        }
        if (count > 1 && mostCached != null && !best.contains(mostCached)) {
            best.set(count - 1, mostCached);
        }
        return List.copyOf(best);
    }

    private List<Candidate> roundRobin(ServerIndex.Pool pool, Set<ServerId> excluded, int count) {
        List<ServerView> servers = new ArrayList<>(pool.near());
        servers.addAll(pool.far());
        servers.removeIf(view -> excluded.contains(view.server().id()));
        servers.sort(Comparator.comparing(view -> view.server().id()));
        List<Candidate> candidates = new ArrayList<>();
        int first = servers.isEmpty() ? 0 : (int) (nextIndex++ % servers.size());
        for (int i = 0; i < Math.min(count, servers.size()); i++) {
            ServerView view = servers.get((first + i) % servers.size());
            candidates.add(new Candidate(view.server().id(), view.owner(), 0, 0, 0));
        }
        return candidates;
    }

    private static List<ServerView> sample(List<ServerView> servers, long salt, boolean all) {
        if (all || servers.size() <= MAX_SAMPLED_SERVERS) {
            return servers;
        }
        int first = Math.floorMod(salt, servers.size());
        int end = first + MAX_SAMPLED_SERVERS;
        if (end <= servers.size()) {
            return servers.subList(first, end);
        }
        List<ServerView> wrapped = new ArrayList<>(servers.subList(first, servers.size()));
        wrapped.addAll(servers.subList(0, end - servers.size()));
        return wrapped;
    }

    private static List<ServerView> far(ServerIndex.Pool pool, Scoring scoring, boolean all) {
        return sample(pool.far(), HashMix.mix(scoring.salt()), all);
    }

    private static boolean runs(ServerView view, Target target, Optional<VersionId> version) {
        return view.server().target().equals(target)
                && (version.isEmpty() || version.get().equals(view.server().version()));
    }

    private static boolean absent(List<Candidate> scored, ServerView view) {
        ServerId id = view.server().id();
        return scored.stream().noneMatch(candidate -> candidate.server().equals(id));
    }

    private void observeLoad(ServerLoad load) {
        index.server(load.server()).ifPresent(view -> view.updateLoad(load));
    }

    private void observeDomain(DomainLoads loads, ModelLoad load) {
        ServerIndex.Pool pool = index.pool(new Target.Model(load.model()), Optional.empty());
        long waitMillis = ServerView.waitForRank(load.waitMillisByRank(), 0);
        for (ServerView view : pool.far()) {
            if (view.server().domain().equals(loads.domain())) {
                boolean listed = load.best().contains(view.server().id());
                view.updateDomainWait(listed ? waitMillis : waitMillis + UNLISTED_SERVER_MILLIS);
            }
        }
    }

    private void observeRefusal(long nowNanos, Refused refused) {
        boolean unavailable =
                switch (refused.reason()) {
                    case NOT_HOME, NO_SERVER, DRAINING -> true;
                    case OVERLOAD, POISON -> false;
                };
        if (unavailable) {
            index.server(refused.server())
                    .ifPresent(view -> view.avoidUntil(nowNanos + AVOID_NANOS));
        }
    }

    /** The inputs to the score of one request. */
    private record Scoring(
            FleetSnapshot fleet,
            int rank,
            int promptTokens,
            int outputTokens,
            Map<ServerId, Integer> cached,
            long salt,
            long nowNanos) {}
}
