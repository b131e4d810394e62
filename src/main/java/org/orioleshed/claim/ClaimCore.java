package org.orioleshed.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.host.HostAction;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.request.Claims;
import org.orioleshed.request.RequestMessage;
import org.orioleshed.request.RequestMessage.ClaimReported;
import org.orioleshed.request.RequestMessage.ClaimRequested;
import org.orioleshed.request.RequestMessage.ClaimResult;
import org.orioleshed.request.RequestMessage.OutcomeRequested;

/**
 * The claims of this host. Keys are partitioned into buckets. Each bucket has one writer at a time,
 * chosen by rendezvous hashing, which batches the claims of all hosts into few writes. The writer
 * is only an optimization: a host whose writer does not answer writes the claim itself, and
 * compare-and-swap keeps both writes safe. Regardless of which host writes a claim, it names the
 * host that requested it, and only that host sends the call.
 */
public final class ClaimCore implements Claims {
    private static final String PREFIX = "orioleshed/claims/";

    /** How long to wait for the writer before the requesting host writes a claim itself. */
    private static final long WRITER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** How often an outcome is sent to the writer before this host writes it itself. */
    private static final int MAX_OUTCOME_ATTEMPTS = 3;

    private static final long OUTCOME_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private static final int MAX_ABANDONED = 10_000;

    /** The outcome of an abandoned claim. */
    private static final Outcome NEVER_SENT =
            new Outcome.NotRun(Outcome.NotRunReason.STORE_AWAY, 0);

    private final HostId self;
    private final ClaimLimits limits;
    private final Consumer<HostAction> out;
    private final StoreCalls store;
    private final List<Bucket> buckets = new ArrayList<>();
    private final Map<RunId, RequestedClaim> requestedClaims = new LinkedHashMap<>();
    private final Map<RunId, RequestedOutcome> requestedOutcomes = new LinkedHashMap<>();
    private final Map<RunId, RequestKey> abandoned = new LinkedHashMap<>();
    private final Deque<Runnable> notifications = new ArrayDeque<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private Claims.Listener listener;

    /** A claim requested from the bucket's writer. */
    private record RequestedClaim(
            RequestKey key, Optional<RunId> replaces, HostId writer, long fallbackNanos) {}

    /** An outcome sent to the bucket's writer to be recorded. */
    private record RequestedOutcome(
            RequestKey key, Outcome outcome, int attempts, long retryNanos) {}

    /**
     * Creates an instance without claims.
     *
     * @param self the host
     * @param limits the limits to enforce
     * @param out receives the actions, in order
     */
    public ClaimCore(HostId self, ClaimLimits limits, Consumer<HostAction> out) {
        this.self = self;
        this.limits = limits;
        this.out = out;
        this.store = new StoreCalls(limits.storeTimeoutMillis(), out);
        for (int i = 0; i < limits.buckets(); i++) {
            buckets.add(new Bucket(PREFIX + i, limits, store));
        }
    }

    /** Sets the listener for the results of claims; must be called before the first claim. */
    public void listener(Claims.Listener newListener) {
        this.listener = newListener;
    }

    @Override
    public void claim(long nowNanos, RequestKey key, RunId run, Optional<RunId> replaces) {
        Optional<HostId> writer = otherWriter(key);
        if (writer.isEmpty()) {
            claimLocally(nowNanos, key, run, replaces);
            return;
        }
        requestedClaims.put(
                run,
                new RequestedClaim(key, replaces, writer.get(), nowNanos + WRITER_TIMEOUT_NANOS));
        send(writer.get(), new ClaimRequested(key, run, replaces));
    }

    private void claimLocally(long nowNanos, RequestKey key, RunId run, Optional<RunId> replaces) {
        bucket(key)
                .claim(
                        nowNanos,
                        key,
                        run,
                        replaces,
                        true,
                        (now, result) ->
                                notifications.add(() -> listener.onClaimed(now, key, run, result)));
    }

    @Override
    public void abandon(RequestKey key, RunId run) {
        requestedClaims.remove(run);
        bucket(key).abandon(key, run);
        // The writer may still write the claim, possibly after this host has stopped.
        otherWriter(key)
                .ifPresent(writer -> send(writer, new OutcomeRequested(key, run, NEVER_SENT)));
        abandoned.put(run, key);
        if (abandoned.size() > MAX_ABANDONED) {
            abandoned.remove(abandoned.keySet().iterator().next());
        }
    }

    @Override
    public void record(long nowNanos, RequestKey key, RunId run, Outcome outcome) {
        Outcome stored = toStored(outcome);
        Optional<HostId> writer = otherWriter(key);
        if (writer.isEmpty()) {
            bucket(key).record(nowNanos, key, run, stored, () -> {});
            return;
        }
        requestOutcome(nowNanos, run, new RequestedOutcome(key, stored, 0, 0), writer.get());
    }

    private void requestOutcome(long nowNanos, RunId run, RequestedOutcome outcome, HostId writer) {
        long retryNanos = nowNanos + OUTCOME_RETRY_NANOS;
        requestedOutcomes.put(
                run,
                new RequestedOutcome(
                        outcome.key, outcome.outcome, outcome.attempts + 1, retryNanos));
        send(writer, new OutcomeRequested(outcome.key, run, outcome.outcome));
    }

    /** Returns the outcome to store, without an answer that exceeds the size limit. */
    private Outcome toStored(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered
                && answered.body().size() > limits.bodyBytes()) {
            return new Outcome.InDoubt("the call ran, but its answer was too long to keep");
        }
        return outcome;
    }

    @Override
    public void lookUp(long nowNanos, long ticket, RequestKey key) {
        bucket(key)
                .lookUp(
                        nowNanos,
                        key,
                        (now, result) ->
                                notifications.add(
                                        () -> listener.onLookedUp(now, ticket, key, result)));
    }

    /** Handles an event that concerns claims; ignores all others. */
    public void on(long nowNanos, HostEvent event) {
        switch (event) {
            case HostEvent.StoreAnswered answered ->
                    store.onAnswer(nowNanos, answered.ticket(), answered.answer());
            case HostEvent.RequestReceived received ->
                    onReceived(nowNanos, received.from(), received.message());
            case HostEvent.FleetChanged changed -> fleet = changed.fleet();
            case HostEvent.Tick tick -> tick(nowNanos);
            default -> {}
        }
        deliver();
    }

    /** Notifies the listener of the settled claims and lookups. */
    public void deliver() {
        for (Runnable next = notifications.poll(); next != null; next = notifications.poll()) {
            next.run();
        }
    }

    /** Returns whether no claim or outcome is pending. */
    public boolean isIdle() {
        return requestedClaims.isEmpty()
                && requestedOutcomes.isEmpty()
                && buckets.stream().allMatch(Bucket::isIdle);
    }

    private void onReceived(long nowNanos, HostId from, RequestMessage message) {
        switch (message) {
            case ClaimRequested claim -> onClaimRequested(nowNanos, from, claim);
            case ClaimReported reported -> onClaimReported(nowNanos, reported);
            case OutcomeRequested outcome ->
                    bucket(outcome.key())
                            .record(
                                    nowNanos,
                                    outcome.key(),
                                    outcome.run(),
                                    outcome.outcome(),
                                    () ->
                                            send(
                                                    from,
                                                    new ClaimReported(
                                                            outcome.key(),
                                                            outcome.run(),
                                                            new ClaimResult.Recorded())));
            default -> {}
        }
    }

    private void onClaimRequested(long nowNanos, HostId from, ClaimRequested claim) {
        boolean runOfSender = claim.run().request().host().equals(from);
        Bucket bucket = bucket(claim.key());
        if (!runOfSender || bucket.isClaiming(claim.run())) {
            return;
        }
        bucket.claim(
                nowNanos,
                claim.key(),
                claim.run(),
                claim.replaces(),
                false,
                (now, result) ->
                        send(
                                from,
                                new ClaimReported(
                                        claim.key(), claim.run(), toClaimResult(result))));
    }

    private static ClaimResult toClaimResult(Claims.Result result) {
        return switch (result) {
            case Claims.Result.Acquired acquired -> new ClaimResult.Acquired();
            case Claims.Result.Taken taken ->
                    new ClaimResult.Taken(taken.holder(), taken.outcome());
            case Claims.Result.Free free -> new ClaimResult.Unavailable();
            case Claims.Result.Unavailable unavailable -> new ClaimResult.Unavailable();
        };
    }

    private void onClaimReported(long nowNanos, ClaimReported reported) {
        RunId run = reported.run();
        if (reported.result() instanceof ClaimResult.Recorded) {
            requestedOutcomes.remove(run);
            return;
        }
        RequestedClaim claim = requestedClaims.remove(run);
        if (claim == null) {
            releaseAbandoned(nowNanos, reported);
            return;
        }
        switch (reported.result()) {
            case ClaimResult.Acquired acquired ->
                    settle(nowNanos, claim, run, new Claims.Result.Acquired());
            case ClaimResult.Taken taken ->
                    settle(
                            nowNanos,
                            claim,
                            run,
                            new Claims.Result.Taken(taken.holder(), taken.outcome()));
            case ClaimResult.Unavailable unavailable ->
                    claimLocally(nowNanos, claim.key, run, claim.replaces);
            case ClaimResult.Recorded recorded -> {}
        }
    }

    private void settle(long nowNanos, RequestedClaim claim, RunId run, Claims.Result result) {
        notifications.add(() -> listener.onClaimed(nowNanos, claim.key, run, result));
    }

    /** Releases a key whose claim was applied after it was abandoned. */
    private void releaseAbandoned(long nowNanos, ClaimReported reported) {
        RequestKey key = abandoned.get(reported.run());
        if (key != null && reported.result() instanceof ClaimResult.Acquired) {
            abandoned.remove(reported.run());
            record(nowNanos, key, reported.run(), NEVER_SENT);
        }
    }

    private void tick(long nowNanos) {
        store.tick(nowNanos);
        fallBackToLocal(nowNanos);
        retryOutcomes(nowNanos);
        buckets.forEach(bucket -> bucket.tick(nowNanos));
        if (store.shouldProbe(nowNanos)) {
            buckets.getFirst().probe(nowNanos);
        }
    }

    private void fallBackToLocal(long nowNanos) {
        for (Map.Entry<RunId, RequestedClaim> entry : List.copyOf(requestedClaims.entrySet())) {
            RequestedClaim claim = entry.getValue();
            if (nowNanos >= claim.fallbackNanos) {
                requestedClaims.remove(entry.getKey());
                claimLocally(nowNanos, claim.key, entry.getKey(), claim.replaces);
            }
        }
    }

    private void retryOutcomes(long nowNanos) {
        for (Map.Entry<RunId, RequestedOutcome> entry : List.copyOf(requestedOutcomes.entrySet())) {
            RequestedOutcome outcome = entry.getValue();
            if (nowNanos < outcome.retryNanos) {
                continue;
            }
            Optional<HostId> writer = otherWriter(outcome.key);
            if (writer.isPresent() && outcome.attempts < MAX_OUTCOME_ATTEMPTS) {
                requestOutcome(nowNanos, entry.getKey(), outcome, writer.get());
                continue;
            }
            requestedOutcomes.remove(entry.getKey());
            bucket(outcome.key)
                    .record(nowNanos, outcome.key, entry.getKey(), outcome.outcome, () -> {});
        }
    }

    private Bucket bucket(RequestKey key) {
        return buckets.get(bucketNumber(key));
    }

    private int bucketNumber(RequestKey key) {
        return Math.floorMod(ClaimPage.hash(key), buckets.size());
    }

    /** Returns the writer of the key's bucket; empty if it is this host. */
    private Optional<HostId> otherWriter(RequestKey key) {
        return Rendezvous.choose(fleet, PREFIX + bucketNumber(key))
                .filter(writer -> !writer.equals(self));
    }

    private void send(HostId to, RequestMessage message) {
        out.accept(new HostAction.SendRequest(to, message));
    }
}
