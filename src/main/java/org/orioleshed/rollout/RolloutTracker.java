package org.orioleshed.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * State of one rollout on one host: the newest record, the evidence, and the host's circuit
 * breaker.
 */
final class RolloutTracker {
    private final RolloutLimits limits;
    private final LocalEvidence local;
    private final PooledEvidence pooled;
    private final LoadTrial loadTrial;
    private final Map<ServerId, String> generations = new HashMap<>();
    private RolloutRecord record;
    private long revision;
    private long stepStartNanos;
    private Optional<String> breaker = Optional.empty();
    private boolean superseded;
    private boolean rolledBackAtDeadline;

    RolloutTracker(
            long nowNanos, HostId self, RolloutRecord record, long revision, RolloutLimits limits) {
        this.limits = limits;
        this.record = record;
        this.revision = revision;
        this.stepStartNanos = nowNanos;
        this.local = new LocalEvidence(record.from(), record.to(), limits);
        this.pooled = new PooledEvidence(record, limits);
        this.loadTrial = new LoadTrial(self, limits);
    }

    RolloutRecord record() {
        return record;
    }

    long revision() {
        return revision;
    }

    LocalEvidence local() {
        return local;
    }

    PooledEvidence pooled() {
        return pooled;
    }

    /** Returns why the breaker tripped; empty while it has not tripped. */
    Optional<String> breaker() {
        return breaker;
    }

    /** Returns whether another open rollout has precedence on one of its routes. */
    boolean isSuperseded() {
        return superseded;
    }

    void setSuperseded(boolean value) {
        superseded = value;
    }

    boolean isOpen() {
        return !record.state().isOutcome();
    }

    /** Returns whether the traffic split can no longer change. */
    boolean isSettled(long epochMillis) {
        return switch (record.state()) {
            case PLANNED, RUNNING -> false;
            case TAKEN_BACK -> true;
            case COMPLETED -> epochMillis >= record.decidedMillis() + limits.guardMillis();
        };
    }

    /**
     * Replaces the record if {@code newer} has a higher revision. An outcome is never replaced.
     *
     * @return whether the record was replaced
     */
    boolean update(long nowNanos, RolloutRecord newer, long newerRevision) {
        if (newerRevision <= revision || !isOpen()) {
            return false;
        }
        if (newer.step() != record.step() || newer.state() != record.state()) {
            stepStartNanos = nowNanos;
            pooled.restartProof();
        }
        record = newer;
        revision = newerRevision;
        return true;
    }

    /** Trips the breaker permanently. Returns false if it had already tripped. */
    boolean trip(String reason) {
        if (breaker.isPresent()) {
            return false;
        }
        breaker = Optional.of(reason);
        return true;
    }

    /**
     * Returns the reason if the current evidence must trip the breaker; empty if it has already
     * tripped.
     */
    Optional<String> alarm() {
        if (breaker.isPresent()) {
            return Optional.empty();
        }
        if (local.alarm() >= limits.breakerLevel()) {
            return Optional.of("own evidence");
        }
        if (pooled.alarm() >= limits.breakerLevel()) {
            return Optional.of("pooled evidence");
        }
        return Optional.empty();
    }

    /**
     * Rolls back on this host when the deadline passes without an outcome. Returns whether this
     * call did so.
     */
    boolean rollBackAtDeadline(long epochMillis) {
        if (rolledBackAtDeadline || !isOpen() || epochMillis < record.completeByMillis()) {
            return false;
        }
        rolledBackAtDeadline = true;
        return true;
    }

    /** Returns the new version's current share of requests on this host. */
    double share(long nowNanos, long epochMillis, FleetSnapshot fleet) {
        if (!isSplitActive(epochMillis)) {
            return 0;
        }
        double share = stepShare();
        if (isInLoadTrial()) {
            return loadTrial.share(nowNanos - stepStartNanos, epochMillis, fleet, share);
        }
        return share;
    }

    /** Returns the new version's servers that currently must get no work. */
    Set<ServerId> heldBack(
            long nowNanos, long epochMillis, FleetSnapshot fleet, FailureDomain domain) {
        if (!isSplitActive(epochMillis) || !isInLoadTrial()) {
            return Set.of();
        }
        if (!loadTrial.isMyTurn(nowNanos - stepStartNanos, epochMillis, fleet, stepShare())) {
            return Set.of();
        }
        return loadTrial.heldBack(newServers(fleet), domain);
    }

    private boolean isSplitActive(long epochMillis) {
        return record.state() == RolloutState.RUNNING
                && breaker.isEmpty()
                && !rolledBackAtDeadline
                && !superseded
                && epochMillis < record.completeByMillis();
    }

    private double stepShare() {
        double share = limits.shares().get(Math.min(record.step(), limits.lastStep()));
        return isService() ? share * limits.serviceFactor() : share;
    }

    private boolean isInLoadTrial() {
        return !isService()
                && record.step() >= limits.lastStep()
                && pooled.lacksProofUnderLoad(LoadTrial.REQUIRED_PROOF);
    }

    boolean isService() {
        return record.target() instanceof Target.Service;
    }

    private List<BackendServer> newServers(FleetSnapshot fleet) {
        return fleet.serversOf(record.target()).stream()
                .filter(server -> server.version().equals(record.to()) && !server.leaving())
                .toList();
    }

    /** Returns the failure domains that have servers of either version. */
    Set<FailureDomain> domains(FleetSnapshot fleet) {
        Set<FailureDomain> domains = new HashSet<>();
        for (BackendServer server : fleet.serversOf(record.target())) {
            domains.add(server.domain());
        }
        return domains;
    }

    /** Clears the values derived from an earlier fleet snapshot. */
    void fleetChanged() {
        generations.clear();
    }

    /**
     * Returns the server's hardware generation if both versions have servers of it; otherwise the
     * empty string, so that the server is compared across generations.
     */
    String generation(ServerId id, FleetSnapshot fleet) {
        return generations.computeIfAbsent(id, server -> comparableGeneration(server, fleet));
    }

    private String comparableGeneration(ServerId id, FleetSnapshot fleet) {
        BackendServer server = fleet.servers().get(id);
        if (server == null) {
            return "";
        }
        boolean shared =
                hasGeneration(fleet, server.generation(), record.from())
                        && hasGeneration(fleet, server.generation(), record.to());
        return shared ? server.generation() : "";
    }

    private boolean hasGeneration(FleetSnapshot fleet, String generation, VersionId version) {
        return fleet.serversOf(record.target()).stream()
                .anyMatch(
                        other ->
                                other.version().equals(version)
                                        && other.generation().equals(generation));
    }
}
