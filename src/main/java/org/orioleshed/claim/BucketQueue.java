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
 * What waits in one bucket: claims and outcomes to be written, and look-ups to be answered. Claims
 * and look-ups are numbered as they come, so that a head read later than a number is known to show
 * what other runs had done by then.
 */
final class BucketQueue {
    private final ClaimLimits limits;
    private final Map<RunId, PendingClaim> claims = new LinkedHashMap<>();
    private final List<PendingClaim> lookUps = new ArrayList<>();
    private final Map<RunId, PendingOutcome> outcomes = new LinkedHashMap<>();
    private final AbandonedClaims abandoned = new AbandonedClaims();
    private long registered;

    BucketQueue(ClaimLimits limits) {
        this.limits = limits;
    }

    void addClaim(
            long nowNanos,
            RequestKey key,
            RunId run,
            Optional<RunId> replaces,
            boolean own,
            PendingClaim.Settled settled) {
        claims.put(run, pending(nowNanos, key, Optional.of(run), replaces, own, settled));
    }

    void addLookUp(long nowNanos, RequestKey key, PendingClaim.Settled settled) {
        lookUps.add(pending(nowNanos, key, Optional.empty(), Optional.empty(), false, settled));
    }

    private PendingClaim pending(
            long nowNanos,
            RequestKey key,
            Optional<RunId> run,
            Optional<RunId> replaces,
            boolean own,
            PendingClaim.Settled settled) {
        long until = nowNanos + TimeUnit.MILLISECONDS.toNanos(limits.waitMillis());
        return new PendingClaim(key, run, replaces, own, until, ++registered, settled);
    }

    /** Takes the outcome of a run; one "not run" is claimed no more. */
    void addOutcome(long nowNanos, RequestKey key, RunId run, Outcome outcome, Runnable written) {
        if (outcome instanceof Outcome.NotRun) {
            claims.remove(run);
            if (outcomes.size() >= AbandonedClaims.MAX_WATCHED) {
                return;
            }
        }
        long due = nowNanos + TimeUnit.MILLISECONDS.toNanos(limits.recordDelayMillis());
        outcomes.put(run, new PendingOutcome(key, run, outcome, due, written));
    }

    /** Gives up on a claim; should it land all the same, its key is freed again. */
    void abandon(RequestKey key, RunId run) {
        claims.remove(run);
        abandoned.add(key, run);
    }

    boolean isClaiming(RunId run) {
        return claims.containsKey(run);
    }

    /**
     * Returns whether nothing waits to be written.
     *
     * @param mayLand whether a write was not heard of, so that a claim given up may stand unseen
     */
    boolean isIdle(boolean mayLand) {
        return claims.isEmpty() && outcomes.isEmpty() && (abandoned.isEmpty() || !mayLand);
    }

    /**
     * Returns whether there is something to do now.
     *
     * @param mayRead whether the head is not known and the store is there to be asked
     */
    boolean isDue(long nowNanos, boolean mayRead) {
        return !claims.isEmpty()
                || !lookUps.isEmpty()
                || (mayRead && !abandoned.isEmpty())
                || outcomes.values().stream().anyMatch(outcome -> outcome.isDue(nowNanos));
    }

    /** Returns the number of the latest claim or look-up. */
    long lastRegistered() {
        return registered;
    }

    /** Returns whether a question later than {@code fresh} waits that needs the head read anew. */
    boolean needsHeadAfter(long fresh, ClaimHead head) {
        return lookUps.stream().anyMatch(lookUp -> lookUp.registered > fresh)
                || claims.values().stream()
                        .anyMatch(claim -> claim.registered > fresh && isContested(claim, head));
    }

    /** Returns whether a run without an outcome has the key, which may have changed meanwhile. */
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

    /** Tells whoever asked that the store is away, for all that waited too long. */
    void expire(long nowNanos, boolean storeUnavailable) {
        expire(nowNanos, storeUnavailable, claims.values().iterator());
        expire(nowNanos, storeUnavailable, lookUps.iterator());
    }

    private void expire(long nowNanos, boolean storeUnavailable, Iterator<PendingClaim> all) {
        List<PendingClaim> late = new ArrayList<>();
        while (all.hasNext()) {
            PendingClaim claim = all.next();
            if (nowNanos >= claim.untilNanos || storeUnavailable) {
                all.remove();
                late.add(claim);
            }
        }
        for (PendingClaim claim : late) {
            if (claim.own) {
                claim.run.ifPresent(run -> abandon(claim.key, run));
            }
            claim.settled.settled(nowNanos, new Claims.Result.Unavailable());
        }
    }

    /** Settles a claim or look-up. */
    void settle(long nowNanos, PendingClaim claim, Claims.Result result) {
        lookUps.remove(claim);
        claim.run.ifPresent(claims::remove);
        claim.settled.settled(nowNanos, result);
    }

    /** Settles outcomes that were written, but not those replaced meanwhile. */
    void written(List<PendingOutcome> ends) {
        ends.forEach(end -> outcomes.remove(end.run(), end));
        ends.forEach(end -> end.written().run());
    }

    /** Forgets which pages were found to hold nothing of interest, since the pages are others. */
    void forgetPages() {
        claims.values().forEach(claim -> claim.cleared.clear());
        lookUps.forEach(lookUp -> lookUp.cleared.clear());
    }

    /** Settles what {@code head} shows to be written, as after a write whose answer was lost. */
    void settleLanded(long nowNanos, ClaimHead head) {
        for (PendingClaim claim : claims()) {
            if (head.find(claim.key, claim.run.orElseThrow()).isPresent()) {
                settle(nowNanos, claim, new Claims.Result.Acquired());
            }
        }
        for (ClaimRecord landed : abandoned.takeLanded(head)) {
            free(nowNanos, landed);
        }
        for (PendingOutcome outcome : outcomes()) {
            if (head.find(outcome.key(), outcome.run()).flatMap(ClaimRecord::outcome).isPresent()) {
                outcomes.remove(outcome.run());
                outcome.written().run();
            }
        }
    }

    private void free(long nowNanos, ClaimRecord landed) {
        Outcome never = new Outcome.NotRun(Outcome.NotRunReason.STORE_AWAY, 0);
        outcomes.putIfAbsent(
                landed.run(),
                new PendingOutcome(landed.key(), landed.run(), never, nowNanos, () -> {}));
    }
}
