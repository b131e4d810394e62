package org.orioleshed.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import org.orioleshed.membership.Member;
import org.orioleshed.model.HostId;

/** The primary of the pools that this host follows, and whether it responds. */
final class PrimaryLink {
    /** A primary that did not respond gets requests again after this time. */
    private static final long RETRY_DELAY_NANOS = 400_000_000L;

    /** Requests queued at a primary that responds to nothing are placed locally after this time. */
    static final long LOST_NANOS = 300_000_000L;

    /** A primary that only paused goes on within this time, and with it its queue. */
    static final long GONE_NANOS = 1_200_000_000L;

    /** A primary that responded within this time counts as alive, regardless of membership. */
    private static final long RESPONSIVE_NANOS = 500_000_000L;

    private final HostId self;
    private final FleetView fleet;
    private final Consumer<String> log;
    private Optional<Member> primary = Optional.empty();
    private boolean silent;
    private long silentSinceNanos;
    private long retryNanos;
    private long respondedNanos;
    private long messageSentNanos;

    PrimaryLink(HostId self, FleetView fleet, Consumer<String> log) {
        this.self = self;
        this.fleet = fleet;
        this.log = log;
    }

    /** Returns the primary's id; empty while there is none. */
    Optional<HostId> id() {
        return primary.map(Member::id);
    }

    /** Returns the primary's name for the log; "none" while there is no primary. */
    String name() {
        return id().map(HostId::value).orElse("none");
    }

    boolean isSelf() {
        return id().equals(Optional.of(self));
    }

    /** Returns whether there is a primary that is not known to be silent. */
    boolean isResponsive() {
        return primary.isPresent() && !silent;
    }

    /** Returns whether another host is the primary and may be sent requests now. */
    boolean acceptsRequests(long nowNanos) {
        return primary.isPresent() && !isSelf() && nowNanos >= retryNanos;
    }

    /** Returns whether the primary has been silent for so long that others must decide. */
    boolean isLost(long nowNanos) {
        return silent && nowNanos - silentSinceNanos > LOST_NANOS;
    }

    /** Returns whether the primary has been silent for so long that its queue counts as lost. */
    boolean isGone(long nowNanos) {
        return silent && nowNanos - silentSinceNanos > GONE_NANOS;
    }

    /**
     * Records the sending of a request or follow message to the primary; either shows that this
     * host follows it.
     */
    void messageSent(long nowNanos) {
        messageSentNanos = nowNanos;
    }

    /** Returns whether a follow message to the primary is due. */
    boolean isFollowDue(long nowNanos) {
        return acceptsRequests(nowNanos)
                && nowNanos - messageSentNanos >= Followers.FOLLOW_INTERVAL_NANOS;
    }

    /**
     * Records a response from a host, which may be the primary.
     *
     * @return whether it is the primary and was silent until now
     */
    boolean responded(HostId from, long nowNanos) {
        if (!id().equals(Optional.of(from))) {
            return false;
        }
        boolean wasSilent = silent;
        if (silent) {
            silent = false;
            log.accept("event=home_back home=" + from);
        }
        respondedNanos = nowNanos;
        retryNanos = nowNanos;
        return wasSilent;
    }

    /**
     * Marks the primary as silent: it did not respond in time.
     *
     * @return whether it was not yet marked as silent
     */
    boolean markSilent(long nowNanos) {
        retryNanos = nowNanos + RETRY_DELAY_NANOS;
        if (silent) {
            return false;
        }
        silent = true;
        silentSinceNanos = nowNanos;
        log.accept("event=home_silent home=" + name());
        return true;
    }

    /**
     * Chooses the primary again after a change of the membership view.
     *
     * @return whether it is another host, or another incarnation of the same host
     */
    boolean choose(long nowNanos) {
        Optional<Member> candidate = fleet.primary();
        if (keepsPrimary(candidate, nowNanos) || isSame(candidate)) {
            return false;
        }
        primary = candidate;
        silent = false;
        retryNanos = nowNanos;
        messageSentNanos = nowNanos - Followers.FOLLOW_INTERVAL_NANOS;
        return true;
    }

    private boolean isSame(Optional<Member> candidate) {
        return id().equals(candidate.map(Member::id))
                && primary.map(Member::incarnation).equals(candidate.map(Member::incarnation));
    }

    /**
     * Returns whether to keep the current primary although membership names another host: its
     * recent responses outweigh a membership report that it died, unless a host that precedes it is
     * back.
     */
    private boolean keepsPrimary(Optional<Member> candidate, long nowNanos) {
        if (primary.isEmpty() || candidate.isEmpty() || isSelf() || silent) {
            return false;
        }
        boolean precedes = FleetView.precedes(candidate.get(), primary.get());
        boolean responsive = nowNanos - respondedNanos < RESPONSIVE_NANOS;
        return !precedes && responsive && !fleet.isLeaving(primary.get());
    }
}
