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

/** One rollout as one host knows it: the newest record, the evidence, and the host's breaker. */
final class RolloutRun {
    private final RolloutLimits limits;
    private final LocalEvidence local;
    private final PooledEvidence pooled;
    private final LoadTrial loadTrial;
    private final Map<ServerId, String> generations = new HashMap<>();
    private RolloutRecord record;
    private long revision;
    private long stepSinceNanos;
    private Optional<String> breaker = Optional.empty();
    private boolean superseded;
    private boolean concludedBack;

    RolloutRun(
            long nowNanos, HostId self, RolloutRecord record, long revision, RolloutLimits limits) {
        this.limits = limits;
        this.record = record;
        this.revision = revision;
        this.stepSinceNanos = nowNanos;
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

    /** Returns why the breaker tripped; empty while it holds. */
    Optional<String> breaker() {
        return breaker;
    }

    /** Returns whether an earlier move has the same routes. */
    boolean isSuperseded() {
        return superseded;
    }

    void setSuperseded(boolean value) {
        superseded = value;
    }

    boolean isOpen() {
        return !record.state().isOutcome();
    }

    /** Returns whether nothing that happens now can change how traffic divides. */
    boolean isOver(long epochMillis) {
        return switch (record.state()) {
            case PLANNED, RUNNING -> false;
            case TAKEN_BACK -> true;
            case COMPLETED -> epochMillis >= record.decidedMillis() + limits.guardMillis();
        };
    }

    /**
     * Takes in a record if it is newer than the known one. An outcome is never replaced.
     *
     * @return whether it was taken in
     */
    boolean adopt(long nowNanos, RolloutRecord newer, long newerRevision) {
        if (newerRevision <= revision || !isOpen()) {
            return false;
        }
        if (newer.step() != record.step() || newer.state() != record.state()) {
            stepSinceNanos = nowNanos;
            pooled.restartProof();
        }
        record = newer;
        revision = newerRevision;
        return true;
    }

    /** Trips the breaker; it stays tripped. Returns whether it held before. */
    boolean trip(String reason) {
        if (breaker.isPresent()) {
            return false;
        }
        breaker = Optional.of(reason);
        return true;
    }

    /** Returns why the evidence trips the breaker now, if it does. */
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

    /** Concludes "back" when the time is over. Returns whether that is new. */
    boolean concludeAtDeadline(long epochMillis) {
        if (concludedBack || !isOpen() || epochMillis < record.completeByMillis()) {
            return false;
        }
        concludedBack = true;
        return true;
    }

    /** Returns the new version's share of requests on this host now. */
    double share(long nowNanos, long epochMillis, FleetSnapshot fleet) {
        if (!isMoving(epochMillis)) {
            return 0;
        }
        double share = stepShare();
        if (isInLoadTrial()) {
            return loadTrial.share(nowNanos - stepSinceNanos, epochMillis, fleet, share);
        }
        return share;
    }

    /** Returns the new version's servers that must get no work for now. */
    Set<ServerId> heldBack(
            long nowNanos, long epochMillis, FleetSnapshot fleet, FailureDomain domain) {
        if (!isMoving(epochMillis) || !isInLoadTrial()) {
            return Set.of();
        }
        if (!loadTrial.isMyTurn(nowNanos - stepSinceNanos, epochMillis, fleet, stepShare())) {
            return Set.of();
        }
        return loadTrial.heldBack(newServers(fleet), domain);
    }

    private boolean isMoving(long epochMillis) {
        return record.state() == RolloutState.RUNNING
                && breaker.isEmpty()
                && !concludedBack
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
                && pooled.lacksProofUnderLoad(LoadTrial.PROOF);
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

    /** Forgets what was derived from an earlier fleet snapshot. */
    void fleetChanged() {
        generations.clear();
    }

    /**
     * Returns the server's hardware generation where the old version has servers of the same one;
     * else the empty string, so that it is compared with all.
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
