package org.orioleshed.dispatch;

import java.util.Optional;
import java.util.function.Predicate;
import org.orioleshed.catalog.Pool;

/**
 * Chooses the server with the lowest expected time to answer. Covers pools of servers that differ
 * in speed and requests that differ in size: a long prompt must not wait behind another one while a
 * server is free, and a server that fails some of its runs or stopped responding must not be
 * preferred because it is idle.
 */
final class Placement {
    /** The cost of a failed run to its caller, in multiples of the latency target. */
    private static final double FAULT_COST_TARGETS = 3;

    private static final double TYPICAL_TARGET_MILLIS = 600;

    /**
     * How much slower a full server is than an idle one, at a typical step time of inference
     * engines.
     */
    private static final double FULL_SERVER_PENALTY_MILLIS = 30;

    /**
     * Traffic between failure domains is costly: a server in the request's own domain is preferred
     * unless it is slower by more than this.
     */
    private static final double ENGINE_DOMAIN_PENALTY_MILLIS = 15;

    private static final double PLAIN_DOMAIN_PENALTY_MILLIS = 3;

    /**
     * The number of stream events whose gaps count in the score beside the time to the first event.
     */
    private static final double SCORED_EVENTS = 4;

    /** Engines preempt their newest runs when more than this fraction of their memory is in use. */
    private static final double MAX_MEMORY_FRACTION = 0.92;

    /**
     * A server is silent when a run has waited longer than this for its first event and the server
     * has sent nothing for as long.
     */
    private static final long SILENT_MILLIS = 700;

    private final PoolState pool;
    private final ServerLimits limits;
    private final double slotShare;
    private final long nowNanos;

    Placement(PoolState pool, ServerLimits limits, double slotShare, long nowNanos) {
        this.pool = pool;
        this.limits = limits;
        this.slotShare = slotShare;
        this.nowNanos = nowNanos;
    }

    /** Returns the best server with a free slot; empty if there is none. */
    Optional<ServerState> choose(PlacementRequest request) {
        if (pool.rollout().isEmpty()) {
            return best(request, server -> true);
        }
        VersionRollout rollout = pool.rollout().get();
        boolean preferNew =
                (rollout.nextIsNew() && hasVersion(rollout, true, request))
                        || !hasVersion(rollout, false, request);
        Optional<ServerState> chosen =
                best(request, server -> rollout.isTarget(server.server().version()) == preferNew);
        return chosen.isEmpty() && rollout.mayUseOther(preferNew)
                ? best(request, server -> rollout.isTarget(server.server().version()) != preferNew)
                : chosen;
    }

    /**
     * Returns whether any server of the target version, or of another one, in an allowed region
     * accepts requests.
     */
    private boolean hasVersion(VersionRollout rollout, boolean target, PlacementRequest request) {
        return pool.servers().all().stream()
                .anyMatch(
                        server ->
                                !server.isLeaving()
                                        && request.permitsDomain(server.server().domain())
                                        && rollout.isTarget(server.server().version()) == target);
    }

    private Optional<ServerState> best(PlacementRequest request, Predicate<ServerState> filter) {
        ServerState best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (ServerState server : pool.servers().all()) {
            if (!filter.test(server) || !isEligible(server, request) || !hasRoom(server, request)) {
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
     * Returns the number of slots on usable servers: one if all servers are backing off or silent,
     * and zero if all are draining. A server that states a limit counts with the slots that the
     * limit can keep busy.
     *
     * @param expectedRunMillis how long a request occupies a slot, in milliseconds
     */
    double usableSlots(double expectedRunMillis) {
        return usableSlots(expectedRunMillis, server -> true);
    }

    /** Returns {@link #usableSlots(double)} of the servers in a request's allowed domains. */
    double usableSlots(PlacementRequest request) {
        return usableSlots(
                pool.expectedRunMillis(request),
                server -> request.permitsDomain(server.server().domain()));
    }

    private double usableSlots(double expectedRunMillis, Predicate<ServerState> filter) {
        double slots = 0;
        boolean anyStaying = false;
        for (ServerState server : pool.servers().all()) {
            if (!filter.test(server)) {
                continue;
            }
            double effective = effectiveSlots(server, expectedRunMillis);
            slots += isUsable(server) ? effective : 0;
            anyStaying |= !server.isLeaving() && effective > 0;
        }
        return slots == 0 && anyStaying ? 1 : slots;
    }

    private double effectiveSlots(ServerState server, double expectedRunMillis) {
        return limits.slots(server, slotLimit(server), expectedRunMillis, nowNanos);
    }

    /**
     * Returns whether any usable server has a free slot; if not, no request can be placed. Saves a
     * scan of the servers for each queued request.
     */
    boolean hasFreeSlot() {
        return pool.servers().all().stream()
                .anyMatch(
                        server ->
                                isUsable(server)
                                        && server.running() < slotLimit(server)
                                        && limits.admits(server, nowNanos));
    }

    private boolean isEligible(ServerState server, PlacementRequest request) {
        return isUsable(server) && request.permits(server.server());
    }

    private boolean isUsable(ServerState server) {
        return !server.isLeaving()
                && !server.isBackingOff(nowNanos)
                && (isCold(server) || !server.isSilent(SILENT_MILLIS, nowNanos));
    }

    private boolean hasRoom(ServerState server, PlacementRequest request) {
        if (server.running() >= slotLimit(server) || !limits.admits(server, nowNanos)) {
            return false;
        }
        long memoryTokens = pool.definition().map(Pool::memoryTokens).orElse(0L);
        long requiredTokens =
                server.reservedTokens() + request.promptTokens() + request.outputTokens();
        return memoryTokens == 0
                || server.running() == 0
                || requiredTokens <= memoryTokens * MAX_MEMORY_FRACTION;
    }

    private boolean isCold(ServerState server) {
        return limits.isCold(server.server(), nowNanos);
    }

    private int slotLimit(ServerState server) {
        int slots = Math.max(1, (int) (server.server().slots() * slotShare));
        return Math.min(slots, server.pacedLimit());
    }

    /**
     * Returns the expected time to the first event plus the penalties, in milliseconds; lower is
     * better.
     */
    double score(ServerState server, PlacementRequest request) {
        boolean engine = request.promptTokens() > 0;
        double load = (double) server.running() / slotLimit(server);
        double expectedMillis = engine ? engineMillis(server, request) : plainMillis(server, load);
        boolean sameDomain = server.server().domain().equals(request.domain());
        double domainPenalty = engine ? ENGINE_DOMAIN_PENALTY_MILLIS : PLAIN_DOMAIN_PENALTY_MILLIS;
        // A cold server is slower by an unknown factor: others are preferred unless their runs
        // fail.
        double faults = server.faultRate(nowNanos) + (isCold(server) ? 1 : 0);
        double faultMillis = faults * FAULT_COST_TARGETS * TYPICAL_TARGET_MILLIS;
        return expectedMillis + faultMillis + (sameDomain ? 0 : domainPenalty);
    }

    private double engineMillis(ServerState server, PlacementRequest request) {
        double firstMillis =
                server.firstEventFactor()
                        * pool.speed()
                                .firstEventMillis(
                                        (double) (server.pendingTokens() + request.promptTokens()));
        double streamMillis =
                server.eventGapFactor() * pool.speed().eventGapMillis() * SCORED_EVENTS;
        return firstMillis
                + streamMillis
                + FULL_SERVER_PENALTY_MILLIS * server.running() / slotLimit(server);
    }

    private double plainMillis(ServerState server, double load) {
        return server.firstEventFactor() * pool.speed().plainMillis() * (1 + load);
    }
}
