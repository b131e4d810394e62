package org.orioleshed.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.request.Claims;

/**
 * The pending operations of one bucket: claims and outcomes to be written, and lookups to be
 * answered. Claims and lookups are numbered in order of arrival, so that a head read after a number
 * was assigned shows what other runs had written by then.
 */
final class BucketQueue {
    private final ClaimLimits limits;
    private final Map<RunId, PendingClaim> claims = new LinkedHashMap<>();
    private final List<PendingClaim> lookUps = new ArrayList<>();
    private final Map<RunId, PendingOutcome> outcomes = new LinkedHashMap<>();
    private final AbandonedClaims abandoned = new AbandonedClaims();
    private long lastSequenceNumber;

    BucketQueue(ClaimLimits limits) {
        this.limits = limits;
    }

    void addClaim(
            long nowNanos,
            RequestKey key,
            RunId run,
            Optional<RunId> replaces,
            boolean local,
            PendingClaim.Settled settled) {
        claims.put(run, pending(nowNanos, key, Optional.of(run), replaces, local, settled));
    }

    void addLookUp(long nowNanos, RequestKey key, PendingClaim.Settled settled) {
        lookUps.add(pending(nowNanos, key, Optional.empty(), Optional.empty(), false, settled));
    }

    private PendingClaim pending(
            long nowNanos,
            RequestKey key,
            Optional<RunId> run,
            Optional<RunId> replaces,
            boolean local,
            PendingClaim.Settled settled) {
        long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(limits.waitMillis());
        return new PendingClaim(
                key, run, replaces, local, deadlineNanos, ++lastSequenceNumber, settled);
    }

    /**
     * Adds the outcome of a run; a pending claim of the run is removed if the outcome is "not run".
     */
    void addOutcome(long nowNanos, RequestKey key, RunId run, Outcome outcome, Runnable onWritten) {
        if (outcome instanceof Outcome.NotRun) {
            claims.remove(run);
            if (outcomes.size() >= AbandonedClaims.MAX_TRACKED) {
                return;
            }
        }
        long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(limits.recordDelayMillis());
        outcomes.put(run, new PendingOutcome(key, run, outcome, dueNanos, onWritten));
    }

    /** Abandons a claim; if its write is applied later, its key is released again. */
    void abandon(RequestKey key, RunId run) {
        claims.remove(run);
        abandoned.add(key, run);
    }

    boolean isClaiming(RunId run) {
        return claims.containsKey(run);
    }

    /**
     * Returns whether nothing is waiting to be written.
     *
     * @param mayBeApplied whether the answer to a write is missing, so that an abandoned claim may
     *     have been stored
     */
    boolean isIdle(boolean mayBeApplied) {
        return claims.isEmpty() && outcomes.isEmpty() && (abandoned.isEmpty() || !mayBeApplied);
    }

    /**
     * Returns whether an operation is due.
     *
     * @param mayRead whether the head is not loaded and the store is available
     */
    boolean isDue(long nowNanos, boolean mayRead) {
        return !claims.isEmpty()
                || !lookUps.isEmpty()
                || (mayRead && !abandoned.isEmpty())
                || outcomes.values().stream().anyMatch(outcome -> outcome.isDue(nowNanos));
    }

    /** Returns the sequence number of the latest claim or lookup. */
    long lastSequenceNumber() {
        return lastSequenceNumber;
    }

    /**
     * Returns whether a claim or lookup with a sequence number above {@code freshThrough} requires
     * the head to be read again.
     */
    boolean needsHeadAfter(long freshThrough, ClaimHead head) {
        return lookUps.stream().anyMatch(lookUp -> lookUp.sequenceNumber > freshThrough)
                || claims.values().stream()
                        .anyMatch(
                                claim ->
                                        claim.sequenceNumber > freshThrough
                                                && isContested(claim, head));
    }

    /**
     * Returns whether another run without an outcome holds the key in the head, which may be out of
     * date.
     */
    private static boolean isContested(PendingClaim claim, ClaimHead head) {
        ClaimRecord present = head.records().get(claim.key);
        return present != null && present.outcome().isEmpty() && !claim.isOf(present);
    }

    List<PendingClaim> claims() {
        return List.copyOf(claims.values());
    }

    List<PendingClaim> lookUps() {
        return List.copyOf(lookUps);
    }

    List<PendingOutcome> outcomes() {
        return List.copyOf(outcomes.values());
    }

    /**
     * Settles claims and lookups as unavailable: those that timed out, or all if the store is
     * unavailable.
     */
    void expire(long nowNanos, boolean storeUnavailable) {
        expire(nowNanos, storeUnavailable, claims.values().iterator());
        expire(nowNanos, storeUnavailable, lookUps.iterator());
    }

    private void expire(long nowNanos, boolean storeUnavailable, Iterator<PendingClaim> all) {
        List<PendingClaim> expired = new ArrayList<>();
        while (all.hasNext()) {
            PendingClaim claim = all.next();
            if (nowNanos >= claim.deadlineNanos || storeUnavailable) {
                all.remove();
                expired.add(claim);
            }
        }
        for (PendingClaim claim : expired) {
            if (claim.local) {
                claim.run.ifPresent(run -> abandon(claim.key, run));
            }
            claim.settled.settled(nowNanos, new Claims.Result.Unavailable());
        }
    }

    /** Settles a claim or lookup. */
    void settle(long nowNanos, PendingClaim claim, Claims.Result result) {
        lookUps.remove(claim);
        claim.run.ifPresent(claims::remove);
        claim.settled.settled(nowNanos, result);
    }

    /**
     * Removes outcomes that were written, except those replaced meanwhile, and runs their
     * callbacks.
     */
    void onWritten(List<PendingOutcome> written) {
        written.forEach(outcome -> outcomes.remove(outcome.run(), outcome));
        written.forEach(outcome -> outcome.onWritten().run());
    }

    /** Resets the cleared pages of all claims and lookups, as the head and its pages changed. */
    void resetClearedPages() {
        claims.values().forEach(claim -> claim.cleared.clear());
        lookUps.forEach(lookUp -> lookUp.cleared.clear());
    }

    /**
     * Settles the claims and outcomes that are present in {@code head}, for instance after a write
     * whose answer was lost.
     */
    void settleApplied(long nowNanos, ClaimHead head) {
        for (PendingClaim claim : claims()) {
            if (head.find(claim.key, claim.run.orElseThrow()).isPresent()) {
                settle(nowNanos, claim, new Claims.Result.Acquired());
            }
        }
        for (ClaimRecord applied : abandoned.removeApplied(head)) {
            release(nowNanos, applied);
        }
        for (PendingOutcome outcome : outcomes()) {
            if (head.find(outcome.key(), outcome.run()).flatMap(ClaimRecord::outcome).isPresent()) {
                outcomes.remove(outcome.run());
                outcome.onWritten().run();
            }
        }
    }

    private void release(long nowNanos, ClaimRecord applied) {
        Outcome notSent = new Outcome.NotRun(Outcome.NotRunReason.STORE_AWAY, 0);
        outcomes.putIfAbsent(
                applied.run(),
                new PendingOutcome(applied.key(), applied.run(), notSent, nowNanos, () -> {}));
    }
}
