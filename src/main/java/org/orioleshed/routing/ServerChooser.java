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
 * server is the expected wait, the prefill of what is not cached there, and the time that the
 * answer takes at the server's present speed. Owned by one thread.
 */
public final class ServerChooser {
    private static final int MAX_PREFIX_BLOCKS = 1 << 15;
    private static final int DEFAULT_TOKENS = 150;

    /** The most servers of one failure domain that are scored for one choice. */
    private static final int MAX_SAMPLED_SERVERS = 32;

    /** Scores closer than this are equal, so that hosts with the same reports spread out. */
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
     * Makes a chooser that knows nothing yet.
     *
     * @param self the host that accepts the requests
     * @param limits the policy and its targets
     */
    public ServerChooser(HostId self, RoutingLimits limits) {
        this.self = self;
        this.limits = limits;
    }

    /**
     * Learns from a message: loads, and refusals of servers that can't take work. Others are
     * ignored.
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
     * Notes that a request was placed on {@code server}: its prefixes will be cached there.
     *
     * @param server the server that granted a place
     * @param prefixHashes the request's prefixes, as in {@link Work.Generate}
     */
    public void placed(ServerId server, List<Long> prefixHashes) {
        prefixes.sent(server, prefixHashes);
        index.server(server).ifPresent(ServerView::sent);
    }

    /**
     * Notes the length of a whole answer, to estimate others on the same route.
     *
     * @param route the route
     * @param tokens the length, in tokens
     */
    public void answered(RouteId route, int tokens) {
        lengths.computeIfAbsent(route, r -> new LengthEstimate()).add(tokens);
    }

    /**
     * Returns the expected length of the answer to {@code request}, in tokens: the mean on its
     * route, at most what the caller takes; zero for a call to a plain service.
     */
    public int expectedTokens(Request request) {
        if (!(request.work() instanceof Work.Generate generate)) {
            return 0;
        }
        LengthEstimate estimate = lengths.get(request.route());
        int expected = estimate == null ? DEFAULT_TOKENS : estimate.mean();
        return Math.min(expected, generate.maxOutputTokens());
    }

    /**
     * Returns servers for {@code request}, the best first; the one that holds most of its prompt in
     * its cache is among them when more than one is asked for. Empty when no server of the route
     * takes work.
     *
     * @param fleet the fleet as this host knows it
     * @param request the request
     * @param version the version to run, or empty when any will do
     * @param excluded servers that must not be returned
     * @param count the most servers to return, positive; {@link Integer#MAX_VALUE} for all
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
            throw new IllegalArgumentException("count must be positive: " + count);
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
        long wait = view.waitMillis(scoring.rank());
        long gap = view.tokenGapMillis();
        long score = wait + view.prefillMillis(uncached) + scoring.outputTokens() * gap;
        if (scoring.rank() == 0 && gap > limits.tokenGapMillis()) {
            score += SLOW_STREAM_PENALTY_MILLIS;
        }
        EntryHost owner = scoring.fleet().hosts().get(view.owner());
        if (owner == null || owner.state() == EntryHost.State.SUSPECT) {
            score += SUSPECT_PENALTY_MILLIS;
        }
        if (view.avoided(scoring.nowNanos())) {
            score += SUSPECT_PENALTY_MILLIS;
        }
        EntryHost own = scoring.fleet().hosts().get(self);
        if (own != null && !own.domain().equals(view.server().domain())) {
            score += REMOTE_DOMAIN_MILLIS;
        }
        return new Candidate(id, view.owner(), score, wait, uncached);
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
            boolean caches = candidate.uncachedTokens() < scoring.promptTokens();
            boolean more =
                    mostCached == null || candidate.uncachedTokens() < mostCached.uncachedTokens();
            if (caches && more) {
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
        index.server(load.server()).ifPresent(view -> view.reported(load));
    }

    private void observeDomain(DomainLoads loads, ModelLoad load) {
        ServerIndex.Pool pool = index.pool(new Target.Model(load.model()), Optional.empty());
        long wait = ServerView.forRank(load.waitMillisByRank(), 0);
        for (ServerView view : pool.far()) {
            if (view.server().domain().equals(loads.domain())) {
                boolean named = load.best().contains(view.server().id());
                view.reportedDomainWait(named ? wait : wait + UNLISTED_SERVER_MILLIS);
            }
        }
    }

    private void observeRefusal(long nowNanos, Refused refused) {
        boolean broken =
                switch (refused.reason()) {
                    case NOT_HOME, NO_SERVER, DRAINING -> true;
                    case OVERLOAD, POISON -> false;
                };
        if (broken) {
            index.server(refused.server())
                    .ifPresent(view -> view.avoidUntil(nowNanos + AVOID_NANOS));
        }
    }

    /** One request, seen through what its score depends on. */
    private record Scoring(
            FleetSnapshot fleet,
            int rank,
            int promptTokens,
            int outputTokens,
            Map<ServerId, Integer> cached,
            long salt,
            long nowNanos) {}
}
