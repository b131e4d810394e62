package org.orioleshed.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import org.orioleshed.membership.Member;
import org.orioleshed.model.HostId;

/** Whom this host looks to as the primary of the pools, and whether that answers. */
final class PrimaryLink {
    /** A primary that did not answer gets requests again after this time. */
    private static final long PAUSE_NANOS = 400_000_000L;

    /** What waits at a primary that does not answer others is placed elsewhere after this time. */
    private static final long LOST_NANOS = 300_000_000L;

    /** A primary that answered this lately is there, whatever others say. */
    private static final long HEARD_NANOS = 500_000_000L;

    private final HostId self;
    private final FleetView fleet;
    private final Consumer<String> log;
    private Optional<Member> primary = Optional.empty();
    private boolean silent;
    private long silentSinceNanos;
    private long retryNanos;
    private long heardNanos;
    private long followedNanos;

    PrimaryLink(HostId self, FleetView fleet, Consumer<String> log) {
        this.self = self;
        this.fleet = fleet;
        this.log = log;
    }

    /** Returns the primary; empty while none is known. */
    Optional<HostId> id() {
        return primary.map(Member::id);
    }

    /** Returns one word on who is the primary, for the log. */
    String name() {
        return id().map(HostId::value).orElse("none");
    }

    boolean isSelf() {
        return id().equals(Optional.of(self));
    }

    /** Returns whether another host is the primary and may be sent requests now. */
    boolean acceptsRequests(long nowNanos) {
        return primary.isPresent() && !isSelf() && nowNanos >= retryNanos;
    }

    /** Returns whether the primary has answered nobody for so long that no grant will come. */
    boolean isLost(long nowNanos) {
        return silent && nowNanos - silentSinceNanos > LOST_NANOS;
    }

    /** This host sent the primary a request, which also shows that it is followed. */
    void requested(long nowNanos) {
        followedNanos = nowNanos;
    }

    /** Returns whether it is time to tell the primary that this host follows it. */
    boolean isTellDue(long nowNanos) {
        return acceptsRequests(nowNanos) && nowNanos - followedNanos >= Followers.TELL_NANOS;
    }

    /** Takes an answer of a host, which may be the primary. */
    void answered(HostId from, long nowNanos) {
        if (!id().equals(Optional.of(from))) {
            return;
        }
        if (silent) {
            silent = false;
            log.accept("event=home_back home=" + from);
        }
        heardNanos = nowNanos;
        retryNanos = nowNanos;
    }

    /**
     * The primary did not answer in time.
     *
     * @return whether that is new
     */
    boolean noteSilence(long nowNanos) {
        retryNanos = nowNanos + PAUSE_NANOS;
        if (silent) {
            return false;
        }
        silent = true;
        silentSinceNanos = nowNanos;
        log.accept("event=home_silent home=" + name());
        return true;
    }

    /**
     * Chooses the primary anew after the view changed.
     *
     * @return whether it is another one, or another start of it
     */
    boolean choose(long nowNanos) {
        Optional<Member> candidate = fleet.primary();
        if (keeps(candidate, nowNanos) || isSame(candidate)) {
            return false;
        }
        primary = candidate;
        silent = false;
        retryNanos = nowNanos;
        followedNanos = nowNanos - Followers.TELL_NANOS;
        return true;
    }

    private boolean isSame(Optional<Member> candidate) {
        return id().equals(candidate.map(Member::id))
                && primary.map(Member::incarnation).equals(candidate.map(Member::incarnation));
    }

    /**
     * Returns whether the present primary stays although the view no longer names it: a rumour that
     * it is gone counts for less than its answers, unless a host that has been up longer is back.
     */
    private boolean keeps(Optional<Member> candidate, long nowNanos) {
        if (primary.isEmpty() || candidate.isEmpty() || isSelf() || silent) {
            return false;
        }
        boolean younger = candidate.get().incarnation() > primary.get().incarnation();
        boolean answers = nowNanos - heardNanos < HEARD_NANOS;
        return younger && answers && !fleet.isLeaving(primary.get());
    }
}
