package org.orioleshed.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import org.orioleshed.membership.Member;
import org.orioleshed.model.HostId;

/** Whom this host looks to as the home of the pools, and whether that answers. */
final class HomeLink {
    /** A home that did not answer is asked again after this time. */
    private static final long PAUSE_NANOS = 400_000_000L;

    /** What waits at a home that does not answer others is placed elsewhere after this time. */
    private static final long LOST_NANOS = 300_000_000L;

    /** A home that answered this lately is there, whatever others say. */
    private static final long HEARD_NANOS = 500_000_000L;

    private final HostId self;
    private final FleetView fleet;
    private final Consumer<String> log;
    private Optional<Member> home = Optional.empty();
    private boolean silent;
    private long silentSinceNanos;
    private long askAgainNanos;
    private long heardNanos;
    private long followedNanos;

    HomeLink(HostId self, FleetView fleet, Consumer<String> log) {
        this.self = self;
        this.fleet = fleet;
        this.log = log;
    }

    /** Returns the home; empty while none is known. */
    Optional<HostId> id() {
        return home.map(Member::id);
    }

    /** Returns one word on who is the home, for the log. */
    String name() {
        return id().map(HostId::value).orElse("none");
    }

    boolean isSelf() {
        return id().equals(Optional.of(self));
    }

    /** Returns whether another host is the home and may be asked now. */
    boolean mayBeAsked(long nowNanos) {
        return home.isPresent() && !isSelf() && nowNanos >= askAgainNanos;
    }

    /** Returns whether the home has answered nobody for so long that no grant will come. */
    boolean isLost(long nowNanos) {
        return silent && nowNanos - silentSinceNanos > LOST_NANOS;
    }

    /** This host asked the home, which so knows that it is followed. */
    void asked(long nowNanos) {
        followedNanos = nowNanos;
    }

    /** Returns whether it is time to tell the home that this host follows it. */
    boolean isTellDue(long nowNanos) {
        return mayBeAsked(nowNanos) && nowNanos - followedNanos >= Followers.TELL_NANOS;
    }

    /** Takes an answer of a host, which may be the home. */
    void answered(HostId from, long nowNanos) {
        if (!id().equals(Optional.of(from))) {
            return;
        }
        if (silent) {
            silent = false;
            log.accept("event=home_back home=" + from);
        }
        heardNanos = nowNanos;
        askAgainNanos = nowNanos;
    }

    /**
     * The home did not answer in time.
     *
     * @return whether that is new
     */
    boolean noteSilence(long nowNanos) {
        askAgainNanos = nowNanos + PAUSE_NANOS;
        if (silent) {
            return false;
        }
        silent = true;
        silentSinceNanos = nowNanos;
        log.accept("event=home_silent home=" + name());
        return true;
    }

    /**
     * Chooses the home anew after the view changed.
     *
     * @return whether it is another one, or another start of it
     */
    boolean choose(long nowNanos) {
        Optional<Member> candidate = fleet.home();
        if (keeps(candidate, nowNanos) || isSame(candidate)) {
            return false;
        }
        home = candidate;
        silent = false;
        askAgainNanos = nowNanos;
        followedNanos = nowNanos - Followers.TELL_NANOS;
        return true;
    }

    private boolean isSame(Optional<Member> candidate) {
        return id().equals(candidate.map(Member::id))
                && home.map(Member::incarnation).equals(candidate.map(Member::incarnation));
    }

    /**
     * Returns whether the present home stays although the view no longer names it: a rumour that it
     * is gone counts for less than its answers, unless a host that has been up longer is back.
     */
    private boolean keeps(Optional<Member> candidate, long nowNanos) {
        if (home.isEmpty() || candidate.isEmpty() || isSelf() || silent) {
            return false;
        }
        boolean younger = candidate.get().incarnation() > home.get().incarnation();
        boolean answers = nowNanos - heardNanos < HEARD_NANOS;
        return younger && answers && !fleet.isLeaving(home.get());
    }
}
