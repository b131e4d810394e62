package org.orioleshed.gateway;

import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;

/**
 * Decides from this host's connections which pools' servers it can't reach. Connection failures,
 * resets and silence raise a suspicion, which trial connections confirm or refute. A pool is lost
 * while nearly all of its tried servers can't be connected to, and has returned once most of them
 * can. Pure: without I/O, clock or randomness.
 */
final class ServerReachability {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * A hanging connection attempt fails after 300 ms; two rounds of trials end within a second.
     */
    private static final long TRIAL_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;

    /** A server that breaks connections or is slow gets one trial a second from each host. */
    private static final long PROBE_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

    /** Covers the last round of trials, even if its connections hang until their timeout. */
    private static final long EVIDENCE_NANOS = 800 * NANOS_PER_MILLI;

    /** A suspicion that no evidence has renewed for this long ends. */
    private static final long SUSPICION_NANOS = 1_000 * NANOS_PER_MILLI;

    /**
     * Bounds concurrent trials of one pool, so that 81 hosts don't flood its servers. A decision
     * takes the results of so many servers: if a quarter of a pool is down, at least six of eight
     * servers drawn from it are down in 0.4% of cases.
     */
    private static final int MAX_TRIALS = 8;

    /** Of these at least so many go to servers of the host's own failure domain, if it has any. */
    private static final int MAX_OWN_TRIALS = 2;

    /** A pool is lost at this fraction of reached servers, and returned above the other one. */
    private static final double LOST_FRACTION = 0.25;

    private static final double RETURNED_FRACTION = 0.5;

    /** A silence is a suspicion only if no server of the pool responded for this long. */
    static final long POOL_SILENCE_MILLIS = 300;

    /** After relays reported that they reach no server either, the pool is served directly. */
    private static final long DOWN_ELSEWHERE_NANOS = 1_000 * NANOS_PER_MILLI;

    private static final Comparator<Reach> TRIAL_ORDER =
            Comparator.comparingLong((Reach it) -> it.tried ? it.triedNanos : Long.MIN_VALUE)
                    .thenComparingInt(it -> it.order);

    private final FailureDomain own;
    private final Map<ServiceId, PoolReach> pools = new HashMap<>();
    private final Map<ServerId, PoolReach> poolOfServer = new HashMap<>();

    /** An input. */
    sealed interface Event {
        /** The current servers. */
        record ServersChanged(List<PoolServer> servers) implements Event {
            /** Copies the list. */
            public ServersChanged {
                servers = List.copyOf(servers);
            }
        }

        /** A connection to a server was refused or timed out. */
        record ConnectFailed(ServerId server) implements Event {}

        /** A connection to a server was closed before the response was complete. */
        record ConnectionBroken(ServerId server) implements Event {}

        /**
         * A server has not responded to a request of this host for longer than {@link
         * #POOL_SILENCE_MILLIS}.
         */
        record AwaitsResponse(ServerId server) implements Event {}

        /** A server responded. */
        record Responded(ServerId server) implements Event {}

        /** The result of a trial connection. */
        record TrialEnded(ServerId server, boolean connected) implements Event {}

        /** A relay reported that it reaches no server of a pool either. */
        record UnreachableElsewhere(ServiceId service) implements Event {}

        /** Time passed; sent at least every 100 ms. */
        record Tick() implements Event {}
    }

    /** An output. */
    sealed interface Action {
        /** Open a trial connection. */
        record Try(PoolServer server) implements Action {}

        /** A pool can't be reached any more. */
        record Lost(ServiceId service, int reached, int tried) implements Action {}

        /** A pool can be reached again. */
        record Returned(ServiceId service, int reached, int tried) implements Action {}
    }

    private static final class Reach {
        private final int order;
        private PoolServer server;
        private boolean known;
        private boolean connected;
        private long knownNanos;
        private boolean trying;
        private boolean tried;
        private long triedNanos;

        Reach(PoolServer server) {
            this.server = server;
            this.order = Hashing.murmur3_32_fixed().hashUnencodedChars(server.id().value()).asInt();
        }

        void record(boolean isConnected, long nowNanos) {
            known = true;
            connected = isConnected;
            knownNanos = nowNanos;
        }

        boolean mayTry(long intervalNanos, long nowNanos) {
            return !trying && (!tried || nowNanos - triedNanos >= intervalNanos);
        }

        Action startTrial(long nowNanos) {
            trying = true;
            tried = true;
            triedNanos = nowNanos;
            return new Action.Try(server);
        }

        boolean isFresh(long nowNanos) {
            return known && nowNanos - knownNanos <= EVIDENCE_NANOS;
        }

        boolean isFreshFailure(long nowNanos) {
            return isFresh(nowNanos) && !connected;
        }
    }

    private static final class PoolReach {
        private final ServiceId service;
        private final Map<ServerId, Reach> servers = new LinkedHashMap<>();
        private boolean lost;
        private boolean suspected;
        private long suspectedNanos;
        private boolean responded;
        private long respondedNanos;
        private boolean downElsewhere;
        private long downElsewhereNanos;

        PoolReach(ServiceId service) {
            this.service = service;
        }

        void suspect(long nowNanos) {
            suspected = true;
            suspectedNanos = nowNanos;
        }

        void responded(long nowNanos) {
            responded = true;
            respondedNanos = nowNanos;
        }

        int tried(long nowNanos) {
            return (int) servers.values().stream().filter(it -> it.isFresh(nowNanos)).count();
        }

        /** Returns whether a server of a failure domain was reached lately. */
        boolean reaches(FailureDomain domain, long nowNanos) {
            return servers.values().stream()
                    .anyMatch(
                            it ->
                                    it.isFresh(nowNanos)
                                            && it.connected
                                            && it.server.domain().equals(domain));
        }

        int failed(long nowNanos) {
            return (int)
                    servers.values().stream().filter(it -> it.isFreshFailure(nowNanos)).count();
        }
    }

    /**
     * Creates the state of a host that has tried no server.
     *
     * @param own the failure domain of the host
     */
    ServerReachability(FailureDomain own) {
        this.own = own;
    }

    /** Takes an event and returns what is to be done. */
    List<Action> on(long nowNanos, Event event) {
        List<Action> actions = new ArrayList<>();
        switch (event) {
            case Event.ServersChanged changed -> update(changed.servers());
            case Event.ConnectFailed failed -> {
                find(failed.server()).ifPresent(pool -> pool.suspect(nowNanos));
                decide(failed.server(), nowNanos, actions);
            }
            case Event.ConnectionBroken broken -> probe(broken.server(), nowNanos, actions);
            case Event.AwaitsResponse awaits -> {
                if (isPoolSilent(awaits.server(), nowNanos)) {
                    probe(awaits.server(), nowNanos, actions);
                }
            }
            case Event.Responded responded ->
                    find(responded.server()).ifPresent(pool -> pool.responded(nowNanos));
            case Event.TrialEnded ended -> {
                find(ended.server()).ifPresent(pool -> trialEnded(pool, ended, nowNanos));
                decide(ended.server(), nowNanos, actions);
            }
            case Event.UnreachableElsewhere elsewhere -> {
                PoolReach pool = pools.get(elsewhere.service());
                if (pool != null) {
                    pool.downElsewhere = true;
                    pool.downElsewhereNanos = nowNanos;
                }
            }
            case Event.Tick tick -> pools.values().forEach(pool -> decide(pool, nowNanos, actions));
        }
        return actions;
    }

    private void decide(ServerId server, long nowNanos, List<Action> actions) {
        find(server).ifPresent(pool -> decide(pool, nowNanos, actions));
    }

    private boolean isPoolSilent(ServerId server, long nowNanos) {
        return find(server)
                .filter(
                        pool ->
                                !pool.responded
                                        || nowNanos - pool.respondedNanos
                                                > POOL_SILENCE_MILLIS * NANOS_PER_MILLI)
                .isPresent();
    }

    /** Tries one server; only if that fails, the others of its pool are tried. */
    private void probe(ServerId server, long nowNanos, List<Action> actions) {
        find(server)
                .map(pool -> pool.servers.get(server))
                .filter(it -> it.mayTry(PROBE_INTERVAL_NANOS, nowNanos))
                .ifPresent(it -> actions.add(it.startTrial(nowNanos)));
    }

    private Optional<PoolReach> find(ServerId server) {
        return Optional.ofNullable(poolOfServer.get(server));
    }

    private void update(List<PoolServer> servers) {
        Set<ServerId> current = new HashSet<>();
        for (PoolServer server : servers) {
            current.add(server.id());
            PoolReach pool = pools.computeIfAbsent(server.service(), PoolReach::new);
            Reach reach = pool.servers.get(server.id());
            boolean same =
                    reach != null
                            && reach.server.sameStart(server)
                            && reach.server.address().equals(server.address());
            if (same) {
                reach.server = server;
            } else {
                pool.servers.put(server.id(), new Reach(server));
            }
        }
        pools.values().forEach(pool -> pool.servers.keySet().retainAll(current));
        pools.values().removeIf(pool -> pool.servers.isEmpty());
        poolOfServer.clear();
        pools.values()
                .forEach(pool -> pool.servers.keySet().forEach(id -> poolOfServer.put(id, pool)));
    }

    private static void trialEnded(PoolReach pool, Event.TrialEnded ended, long nowNanos) {
        Reach reach = pool.servers.get(ended.server());
        reach.trying = false;
        reach.record(ended.connected(), nowNanos);
        if (!ended.connected()) {
            pool.suspect(nowNanos);
        }
    }

    private void decide(PoolReach pool, long nowNanos, List<Action> actions) {
        if (!pool.lost && !pool.suspected) {
            return;
        }
        int tried = pool.tried(nowNanos);
        int failed = pool.failed(nowNanos);
        int reached = tried - failed;
        boolean enough = tried >= Math.min(MAX_TRIALS, pool.servers.size());
        boolean fewReached = failed > 0 && reached <= LOST_FRACTION * tried;
        // A host that reaches the servers of its own domain is cut off with the whole domain,
        // and so are its relays: placing there directly is best.
        if (!pool.lost && enough && fewReached && !pool.reaches(own, nowNanos)) {
            pool.lost = true;
            actions.add(new Action.Lost(pool.service, reached, tried));
        } else if (pool.lost && enough && reached >= RETURNED_FRACTION * tried) {
            pool.lost = false;
            actions.add(new Action.Returned(pool.service, reached, tried));
        }
        if (failed > 1) {
            pool.suspect(nowNanos);
        } else if (enough && !pool.lost) {
            // Refuted: at most one server is affected.
            pool.suspected = false;
        }
        pool.suspected &= nowNanos - pool.suspectedNanos <= SUSPICION_NANOS;
        pool.downElsewhere &= nowNanos - pool.downElsewhereNanos <= DOWN_ELSEWHERE_NANOS;
        if (pool.lost || pool.suspected) {
            startTrials(pool, nowNanos, actions);
        }
    }

    /**
     * Tries the servers whose last trial is longest ago: some of this host's failure domain, and
     * others in an order that mixes failure domains.
     */
    private void startTrials(PoolReach pool, long nowNanos, List<Action> actions) {
        long running = pool.servers.values().stream().filter(it -> it.trying).count();
        List<Reach> due =
                pool.servers.values().stream()
                        .filter(it -> it.mayTry(TRIAL_INTERVAL_NANOS, nowNanos))
                        .sorted(TRIAL_ORDER)
                        .toList();
        Stream<Reach> ownDomain =
                due.stream().filter(it -> it.server.domain().equals(own)).limit(MAX_OWN_TRIALS);
        Stream.concat(ownDomain, due.stream())
                .distinct()
                .limit(Math.max(0, MAX_TRIALS - running))
                .forEach(it -> actions.add(it.startTrial(nowNanos)));
    }

    /** Returns whether requests of a pool are to be forwarded to other hosts. */
    boolean mustForward(ServiceId service) {
        PoolReach pool = pools.get(service);
        return pool != null && pool.lost && !pool.downElsewhere;
    }

    /** Returns the pools that are lost. */
    Set<ServiceId> lost() {
        return pools.values().stream()
                .filter(pool -> pool.lost)
                .map(pool -> pool.service)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the servers of a pool that this host can't reach while it reaches others; empty while
     * at most one is affected, which the schedulers handle as a fault of that server.
     */
    Set<ServerId> unreachable(ServiceId service, long nowNanos) {
        PoolReach pool = pools.get(service);
        if (pool == null || pool.lost || !pool.suspected || pool.failed(nowNanos) < 2) {
            return Set.of();
        }
        Set<ServerId> result = new HashSet<>();
        pool.servers.values().stream()
                .filter(it -> it.isFreshFailure(nowNanos))
                .forEach(it -> result.add(it.server.id()));
        return result;
    }
}
