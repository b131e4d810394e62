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
    private static final int PREFIX_MEMORY_BLOCKS = 1 << 15;
    private static final int DEFAULT_TOKENS = 150;

    /** The most servers of one failure domain that are scored for one choice. */
    private static final int SAMPLE_SERVERS = 32;

    /** Scores closer than this are equal, so that hosts with the same reports spread out. */
    private static final long SCORE_STEP_MILLIS = 10;

    private static final long FAR_MILLIS = 20;
    private static final long SUSPECT_MILLIS = 2_000;
    private static final long SLOW_STREAM_MILLIS = 4_000;
    private static final long UNNAMED_FAR_MILLIS = 300;
    private static final long AVOID_NANOS = 1_000_000_000L;

    private final HostId self;
    private final RoutingLimits limits;
    private final PrefixMemory prefixes = new PrefixMemory(PREFIX_MEMORY_BLOCKS);
    private final Map<RouteId, LengthEstimate> lengths = new HashMap<>();
    private ServerIndex index = ServerIndex.EMPTY;
    private long turn;

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
    public void learn(long nowNanos, RoutingMessage message) {
        switch (message) {
            case ServerLoads loads -> loads.loads().forEach(this::learnLoad);
            case DomainLoads loads -> loads.loads().forEach(load -> learnDomain(loads, load));
            case Refused refused -> learnRefusal(nowNanos, refused);
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
        index.server(server).ifPresent(KnownServer::sent);
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
        index = index.in(self, fleet);
        Route route = fleet.routes().get(request.route());
        if (route == null) {
            return List.of();
        }
        ServerIndex.Pool pool = index.pool(route.target(), version);
        if (limits.policy() == Policy.NAIVE) {
            return inTurn(pool, excluded, count);
        }
        Question question = question(fleet, request, nowNanos);
        List<Candidate> scored = new ArrayList<>();
        boolean all = count >= SAMPLE_SERVERS;
        score(question, sample(pool.near(), question.salt(), all), excluded, scored);
        score(question, far(pool, question, all), excluded, scored);
        question.cached().keySet().stream()
                .flatMap(id -> index.server(id).stream())
                .filter(known -> runs(known, route.target(), version))
                .filter(known -> absent(scored, known))
                .forEach(known -> score(question, List.of(known), excluded, scored));
        scored.sort(order(question));
        return best(scored, question, count);
    }

    private Question question(FleetSnapshot fleet, Request request, long nowNanos) {
        Map<ServerId, Integer> cached =
                request.work() instanceof Work.Generate generate
                        ? prefixes.cachedTokens(generate.prefixHashes())
                        : Map.of();
        int promptTokens =
                request.work() instanceof Work.Generate generate ? generate.promptTokens() : 0;
        return new Question(
                fleet,
                request.tier().rank(),
                promptTokens,
                expectedTokens(request),
                cached,
                Spread.mix(request.id().sequence() ^ request.id().host().hashCode()),
                nowNanos);
    }

    private void score(
            Question question,
            List<KnownServer> servers,
            Set<ServerId> excluded,
            List<Candidate> into) {
        for (KnownServer known : servers) {
            if (!excluded.contains(known.server().id())) {
                into.add(candidate(question, known));
            }
        }
    }

    private Candidate candidate(Question question, KnownServer known) {
        ServerId id = known.server().id();
        int cached = question.cached().getOrDefault(id, 0);
        int uncached = Math.max(0, question.promptTokens() - cached);
        long wait = known.waitMillis(question.rank());
        long gap = known.tokenGapMillis();
        long score = wait + known.prefillMillis(uncached) + question.outputTokens() * gap;
        if (question.rank() == 0 && gap > limits.tokenGapMillis()) {
            score += SLOW_STREAM_MILLIS;
        }
        EntryHost owner = question.fleet().hosts().get(known.owner());
        if (owner == null || owner.state() == EntryHost.State.SUSPECT) {
            score += SUSPECT_MILLIS;
        }
        if (known.avoided(question.nowNanos())) {
            score += SUSPECT_MILLIS;
        }
        EntryHost own = question.fleet().hosts().get(self);
        if (own != null && !own.domain().equals(known.server().domain())) {
            score += FAR_MILLIS;
        }
        return new Candidate(id, known.owner(), score, wait, uncached);
    }

    private static Comparator<Candidate> order(Question question) {
        return Comparator.comparingLong((Candidate c) -> c.scoreMillis() / SCORE_STEP_MILLIS)
                .thenComparingLong(c -> Spread.mix(question.salt() ^ c.server().hashCode()))
                .thenComparing(Candidate::server);
    }

    private static List<Candidate> best(List<Candidate> sorted, Question question, int count) {
        if (sorted.size() <= count) {
            return List.copyOf(sorted);
        }
        List<Candidate> best = new ArrayList<>(sorted.subList(0, count));
        Candidate affine = null;
        for (Candidate candidate : sorted) {
            boolean caches = candidate.uncachedTokens() < question.promptTokens();
            boolean more = affine == null || candidate.uncachedTokens() < affine.uncachedTokens();
            if (caches && more) {
                affine = candidate;
            }
        }
        if (count > 1 && affine != null && !best.contains(affine)) {
            best.set(count - 1, affine);
        }
        return List.copyOf(best);
    }

    private List<Candidate> inTurn(ServerIndex.Pool pool, Set<ServerId> excluded, int count) {
        List<KnownServer> servers = new ArrayList<>(pool.near());
        servers.addAll(pool.far());
        servers.removeIf(known -> excluded.contains(known.server().id()));
        servers.sort(Comparator.comparing(known -> known.server().id()));
        List<Candidate> candidates = new ArrayList<>();
        int first = servers.isEmpty() ? 0 : (int) (turn++ % servers.size());
        for (int i = 0; i < Math.min(count, servers.size()); i++) {
            KnownServer known = servers.get((first + i) % servers.size());
            candidates.add(new Candidate(known.server().id(), known.owner(), 0, 0, 0));
        }
        return candidates;
    }

    private static List<KnownServer> sample(List<KnownServer> servers, long salt, boolean all) {
        if (all || servers.size() <= SAMPLE_SERVERS) {
            return servers;
        }
        int first = Math.floorMod(salt, servers.size());
        int end = first + SAMPLE_SERVERS;
        if (end <= servers.size()) {
            return servers.subList(first, end);
        }
        List<KnownServer> wrapped = new ArrayList<>(servers.subList(first, servers.size()));
        wrapped.addAll(servers.subList(0, end - servers.size()));
        return wrapped;
    }

    private static List<KnownServer> far(ServerIndex.Pool pool, Question question, boolean all) {
        return sample(pool.far(), Spread.mix(question.salt()), all);
    }

    private static boolean runs(KnownServer known, Target target, Optional<VersionId> version) {
        return known.server().target().equals(target)
                && (version.isEmpty() || version.get().equals(known.server().version()));
    }

    private static boolean absent(List<Candidate> scored, KnownServer known) {
        ServerId id = known.server().id();
        return scored.stream().noneMatch(candidate -> candidate.server().equals(id));
    }

    private void learnLoad(ServerLoad load) {
        index.server(load.server()).ifPresent(known -> known.reported(load));
    }

    private void learnDomain(DomainLoads loads, ModelLoad load) {
        ServerIndex.Pool pool = index.pool(new Target.Model(load.model()), Optional.empty());
        long wait = KnownServer.forRank(load.waitMillisByRank(), 0);
        for (KnownServer known : pool.far()) {
            if (known.server().domain().equals(loads.domain())) {
                boolean named = load.best().contains(known.server().id());
                known.reportedFromAfar(named ? wait : wait + UNNAMED_FAR_MILLIS);
            }
        }
    }

    private void learnRefusal(long nowNanos, Refused refused) {
        boolean broken =
                switch (refused.reason()) {
                    case NOT_HOME, NO_SERVER, DRAINING -> true;
                    case OVERLOAD, POISON -> false;
                };
        if (broken) {
            index.server(refused.server())
                    .ifPresent(known -> known.avoidUntil(nowNanos + AVOID_NANOS));
        }
    }

    /** One request, seen through what its score depends on. */
    private record Question(
            FleetSnapshot fleet,
            int rank,
            int promptTokens,
            int outputTokens,
            Map<ServerId, Integer> cached,
            long salt,
            long nowNanos) {}
}
