package org.orioleshed.dispatch;

import java.util.Optional;
import java.util.function.Predicate;
import org.orioleshed.catalog.Pool;

/**
 * Chooses the server that is expected to answer first. Answers the load pattern of unlike servers
 * under mixed sizes: a long prompt must not wait behind another one while a server is free, and a
 * server that fails some of its calls, or went silent, must not look attractive because it is
 * empty.
 */
final class Placement {
    /** A run that fails costs its caller about this many targets. */
    private static final double FAULT_TARGETS = 3;

    private static final double USUAL_TARGET_MILLIS = 600;

    /** What a full server is slower than an empty one, at a usual step time of engines. */
    private static final double FULL_MILLIS = 30;

    /** Bytes between failure domains cost; a server nearby is taken if it is slower by less. */
    private static final double OTHER_DOMAIN_ENGINE_MILLIS = 15;

    private static final double OTHER_DOMAIN_PLAIN_MILLIS = 3;

    /** Events that count when a stream's speed is weighed against its first event. */
    private static final double WEIGHED_EVENTS = 4;

    /** Memory beyond this part makes engines preempt their newest runs. */
    private static final double MEMORY_PART = 0.92;

    /** Longer than this without a first event, and longer than thrice the expected time. */
    private static final long SILENT_MILLIS = 700;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final PoolState pool;
    private final ServerRates rates;
    private final double share;
    private final long nowNanos;

    Placement(PoolState pool, ServerRates rates, double share, long nowNanos) {
        this.pool = pool;
        this.rates = rates;
        this.share = share;
        this.nowNanos = nowNanos;
    }

    /** Returns the best server with a free place; empty where none has one. */
    Optional<ServerState> choose(PlacementRequest request) {
        if (pool.rollout().isEmpty()) {
            return best(request, server -> true);
        }
        VersionRollout rollout = pool.rollout().get();
        boolean wantsNew =
                (rollout.nextIsNew() && hasVersion(rollout, true)) || !hasVersion(rollout, false);
        Optional<ServerState> chosen =
                best(request, server -> rollout.isTarget(server.server().version()) == wantsNew);
        return chosen.isEmpty() && rollout.mayUseOther(wantsNew)
                ? best(request, server -> rollout.isTarget(server.server().version()) != wantsNew)
                : chosen;
    }

    /** Returns whether any server of the new, or of the old, version takes calls. */
    private boolean hasVersion(VersionRollout rollout, boolean target) {
        return pool.servers().all().stream()
                .anyMatch(
                        server ->
                                !server.isLeaving()
                                        && rollout.isTarget(server.server().version()) == target);
    }

    private Optional<ServerState> best(PlacementRequest request, Predicate<ServerState> allowed) {
        ServerState best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (ServerState server : pool.servers().all()) {
            if (!allowed.test(server) || !maySend(server, request) || !hasRoom(server, request)) {
                continue;
            }
            double score = score(server, request);
            if (score < bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the places of servers that are well; one where all of them are held off for a moment,
     * and none where all are leaving. One that takes few requests counts by the places that these
     * keep.
     *
     * @param busyMillis how long a request keeps its place
     */
    double usablePlaces(double busyMillis) {
        double places = 0;
        boolean someStay = false;
        for (ServerState server : pool.servers().all()) {
            double takes = takenPlaces(server, busyMillis);
            places += isUsable(server) ? takes : 0;
            someStay |= !server.isLeaving() && takes > 0;
        }
        return places == 0 && someStay ? 1 : places;
    }

    private double takenPlaces(ServerState server, double busyMillis) {
        double most = limit(server);
        return rates.of(server.server())
                .map(rate -> Math.min(most, rate.perSecond() * busyMillis / MILLIS_PER_SECOND))
                .orElse(most);
    }

    private boolean maySend(ServerState server, PlacementRequest request) {
        return isUsable(server) && !request.excluded().contains(server.server().id());
    }

    private boolean isUsable(ServerState server) {
        return !server.isLeaving()
                && !server.isHeldOff(nowNanos)
                && !server.isSilent(SILENT_MILLIS, nowNanos);
    }

    private boolean hasRoom(ServerState server, PlacementRequest request) {
        if (server.running() >= limit(server) || !takesOne(server)) {
            return false;
        }
        long memory = pool.declared().map(Pool::memoryTokens).orElse(0L);
        long needed = server.heldTokens() + request.promptTokens() + request.outputTokens();
        return memory == 0 || server.running() == 0 || needed <= memory * MEMORY_PART;
    }

    /** Returns whether the rate that a server has named, if any, leaves room for a request. */
    private boolean takesOne(ServerState server) {
        return rates.of(server.server()).map(rate -> rate.hasRoom(nowNanos)).orElse(true);
    }

    private int limit(ServerState server) {
        return Math.max(1, (int) (server.server().slots() * share));
    }

    /** Returns the expected time to the first event, and what else counts, in milliseconds. */
    double score(ServerState server, PlacementRequest request) {
        boolean engine = request.promptTokens() > 0;
        double load = (double) server.running() / limit(server);
        double expected = engine ? engineMillis(server, request) : plainMillis(server, load);
        boolean near = server.server().domain().equals(request.domain());
        double away = engine ? OTHER_DOMAIN_ENGINE_MILLIS : OTHER_DOMAIN_PLAIN_MILLIS;
        double faults = server.faultRate(nowNanos) * FAULT_TARGETS * USUAL_TARGET_MILLIS;
        return expected + faults + (near ? 0 : away);
    }

    private double engineMillis(ServerState server, PlacementRequest request) {
        double first =
                server.firstFactor()
                        * pool.speed().firstMillis(server.pendingTokens() + request.promptTokens());
        double stream = server.eventFactor() * pool.speed().eventMillis() * WEIGHED_EVENTS;
        return first + stream + FULL_MILLIS * server.running() / limit(server);
    }

    private double plainMillis(ServerState server, double load) {
        return server.firstFactor() * pool.speed().plainMillis() * (1 + load);
    }
}
