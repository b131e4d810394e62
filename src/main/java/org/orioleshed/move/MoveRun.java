package org.orioleshed.move;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.World;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** One move as one host knows it: the newest record, the evidence, and the host's fuse. */
final class MoveRun {
    private final MoveLimits limits;
    private final LocalEvidence local;
    private final PooledEvidence pooled;
    private final LoadTrial loadTrial;
    private final Map<ServerId, String> generations = new HashMap<>();
    private MoveRecord record;
    private long revision;
    private long stepSinceNanos;
    private Optional<String> fuse = Optional.empty();
    private boolean superseded;
    private boolean concludedBack;

    MoveRun(long nowNanos, HostId self, MoveRecord record, long revision, MoveLimits limits) {
        this.limits = limits;
        this.record = record;
        this.revision = revision;
        this.stepSinceNanos = nowNanos;
        this.local = new LocalEvidence(record.from(), record.to(), limits);
        this.pooled = new PooledEvidence(record, limits);
        this.loadTrial = new LoadTrial(self, limits);
    }

    MoveRecord record() {
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

    /** Returns why the fuse blew; empty while it holds. */
    Optional<String> fuse() {
        return fuse;
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
    boolean adopt(long nowNanos, MoveRecord newer, long newerRevision) {
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

    /** Blows the fuse; it stays blown. Returns whether it held before. */
    boolean blow(String reason) {
        if (fuse.isPresent()) {
            return false;
        }
        fuse = Optional.of(reason);
        return true;
    }

    /** Returns why the evidence blows the fuse now, if it does. */
    Optional<String> alarm() {
        if (fuse.isPresent()) {
            return Optional.empty();
        }
        if (local.alarm() >= limits.fuseLevel()) {
            return Optional.of("own evidence");
        }
        if (pooled.alarm() >= limits.fuseLevel()) {
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
    double share(long nowNanos, long epochMillis, World world) {
        if (!isMoving(epochMillis)) {
            return 0;
        }
        double share = stepShare();
        if (isInLoadTrial()) {
            return loadTrial.share(nowNanos - stepSinceNanos, epochMillis, world, share);
        }
        return share;
    }

    /** Returns the new version's servers that must get no work for now. */
    Set<ServerId> heldBack(long nowNanos, long epochMillis, World world, FailureDomain domain) {
        if (!isMoving(epochMillis) || !isInLoadTrial()) {
            return Set.of();
        }
        if (!loadTrial.isMyTurn(nowNanos - stepSinceNanos, epochMillis, world, stepShare())) {
            return Set.of();
        }
        return loadTrial.heldBack(newServers(world), domain);
    }

    private boolean isMoving(long epochMillis) {
        return record.state() == MoveState.RUNNING
                && fuse.isEmpty()
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

    private List<BackendServer> newServers(World world) {
        return world.serversOf(record.target()).stream()
                .filter(server -> server.version().equals(record.to()) && !server.leaving())
                .toList();
    }

    /** Returns the failure domains that have servers of either version. */
    Set<FailureDomain> domains(World world) {
        Set<FailureDomain> domains = new HashSet<>();
        for (BackendServer server : world.serversOf(record.target())) {
            domains.add(server.domain());
        }
        return domains;
    }

    /** Forgets what was derived from an earlier world. */
    void worldChanged() {
        generations.clear();
    }

    /**
     * Returns the server's hardware generation where the old version has servers of the same one;
     * else the empty string, so that it is compared with all.
     */
    String generation(ServerId id, World world) {
        return generations.computeIfAbsent(id, server -> comparableGeneration(server, world));
    }

    private String comparableGeneration(ServerId id, World world) {
        BackendServer server = world.servers().get(id);
        if (server == null) {
            return "";
        }
        boolean shared =
                hasGeneration(world, server.generation(), record.from())
                        && hasGeneration(world, server.generation(), record.to());
        return shared ? server.generation() : "";
    }

    private boolean hasGeneration(World world, String generation, VersionId version) {
        return world.serversOf(record.target()).stream()
                .anyMatch(
                        other ->
                                other.version().equals(version)
                                        && other.generation().equals(generation));
    }
}
