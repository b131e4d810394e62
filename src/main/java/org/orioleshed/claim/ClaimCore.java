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
 * The claims of this host. Keys are divided over buckets; each bucket has one writer at a time, the
 * host that wins rendezvous hashing, which groups the claims of all hosts into few writes. The
 * choice of the writer is for speed alone: a host whose writer does not answer writes by itself,
 * and the compare-and-swap keeps both safe. Whoever writes a claim, it names the host that asked,
 * and that host alone sends the call.
 */
public final class ClaimCore implements Claims {
    private static final String PREFIX = "orioleshed/claims/";

    /** How long a writer may take before the claim is written by its own host. */
    private static final long WRITER_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** How often an outcome is sent to its writer before its own host writes it. */
    private static final int OUTCOME_TRIES = 3;

    private static final long OUTCOME_REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private static final int MAX_GIVEN_UP = 10_000;

    /** The outcome of a claim that was given up. */
    private static final Outcome NEVER = new Outcome.NotRun(Outcome.NotRunReason.STORE_AWAY, 0);

    private final HostId self;
    private final ClaimLimits limits;
    private final Consumer<HostAction> out;
    private final StoreCalls store;
    private final List<Bucket> buckets = new ArrayList<>();
    private final Map<RunId, Asked> asked = new LinkedHashMap<>();
    private final Map<RunId, RequestedOutcome> askedOutcomes = new LinkedHashMap<>();
    private final Map<RunId, RequestKey> givenUp = new LinkedHashMap<>();
    private final Deque<Runnable> settled = new ArrayDeque<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private Claims.Listener listener;

    /** A claim that the bucket's writer was asked for. */
    private record Asked(
            RequestKey key, Optional<RunId> replaces, HostId writer, long fallBackNanos) {}

    /** An outcome that the bucket's writer was asked to record. */
    private record RequestedOutcome(RequestKey key, Outcome outcome, int tries, long nextNanos) {}

    /**
     * Makes the claims of a host that has asked the store nothing yet.
     *
     * @param self the host
     * @param limits the bounds to keep to
     * @param out takes the actions, in order
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

    /** Sets who hears what became of claims; must be called before the first claim. */
    public void listener(Claims.Listener claimant) {
        this.listener = claimant;
    }

    @Override
    public void claim(long nowNanos, RequestKey key, RunId run, Optional<RunId> replaces) {
        Optional<HostId> writer = otherWriter(key);
        if (writer.isEmpty()) {
            claimHere(nowNanos, key, run, replaces);
            return;
        }
        asked.put(run, new Asked(key, replaces, writer.get(), nowNanos + WRITER_NANOS));
        send(writer.get(), new ClaimRequested(key, run, replaces));
    }

    private void claimHere(long nowNanos, RequestKey key, RunId run, Optional<RunId> replaces) {
        bucket(key)
                .claim(
                        nowNanos,
                        key,
                        run,
                        replaces,
                        true,
                        (now, result) ->
                                settled.add(() -> listener.onClaimed(now, key, run, result)));
    }

    @Override
    public void abandon(RequestKey key, RunId run) {
        asked.remove(run);
        bucket(key).abandon(key, run);
        // The writer may have the claim yet, and this host may be gone when it lands.
        otherWriter(key).ifPresent(writer -> send(writer, new OutcomeRequested(key, run, NEVER)));
        givenUp.put(run, key);
        if (givenUp.size() > MAX_GIVEN_UP) {
            givenUp.remove(givenUp.keySet().iterator().next());
        }
    }

    @Override
    public void record(long nowNanos, RequestKey key, RunId run, Outcome outcome) {
        Outcome kept = shortened(outcome);
        Optional<HostId> writer = otherWriter(key);
        if (writer.isEmpty()) {
            bucket(key).record(nowNanos, key, run, kept, () -> {});
            return;
        }
        askOutcome(nowNanos, run, new RequestedOutcome(key, kept, 0, 0), writer.get());
    }

    private void askOutcome(long nowNanos, RunId run, RequestedOutcome outcome, HostId writer) {
        long next = nowNanos + OUTCOME_REPEAT_NANOS;
        askedOutcomes.put(
                run, new RequestedOutcome(outcome.key, outcome.outcome, outcome.tries + 1, next));
        send(writer, new OutcomeRequested(outcome.key, run, outcome.outcome));
    }

    /** Returns the outcome as far as the store keeps it. */
    private Outcome shortened(Outcome outcome) {
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
                                settled.add(() -> listener.onLookedUp(now, ticket, key, result)));
    }

    /** Takes an event that concerns claims; others are ignored. */
    public void on(long nowNanos, HostEvent event) {
        switch (event) {
            case HostEvent.StoreAnswered answered ->
                    store.onAnswer(nowNanos, answered.ticket(), answered.answer());
            case HostEvent.RequestReceived received ->
                    received(nowNanos, received.from(), received.message());
            case HostEvent.FleetChanged changed -> fleet = changed.fleet();
            case HostEvent.Tick tick -> tick(nowNanos);
            default -> {}
        }
        deliver();
    }

    /** Tells the listener what was settled. */
    public void deliver() {
        for (Runnable next = settled.poll(); next != null; next = settled.poll()) {
            next.run();
        }
    }

    /** Returns whether nothing is left to claim or to record. */
    public boolean isIdle() {
        return asked.isEmpty()
                && askedOutcomes.isEmpty()
                && buckets.stream().allMatch(Bucket::isIdle);
    }

    private void received(long nowNanos, HostId from, RequestMessage message) {
        switch (message) {
            case ClaimRequested claim -> onClaimRequested(nowNanos, from, claim);
            case ClaimReported told -> onClaimReported(nowNanos, told);
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
        boolean ownRun = claim.run().request().host().equals(from);
        Bucket bucket = bucket(claim.key());
        if (!ownRun || bucket.isClaiming(claim.run())) {
            return;
        }
        bucket.claim(
                nowNanos,
                claim.key(),
                claim.run(),
                claim.replaces(),
                false,
                (now, result) ->
                        send(from, new ClaimReported(claim.key(), claim.run(), told(result))));
    }

    private static ClaimResult told(Claims.Result result) {
        return switch (result) {
            case Claims.Result.Acquired owned -> new ClaimResult.Acquired();
            case Claims.Result.Taken taken ->
                    new ClaimResult.Taken(taken.holder(), taken.outcome());
            case Claims.Result.Free free -> new ClaimResult.Unavailable();
            case Claims.Result.Unavailable unavailable -> new ClaimResult.Unavailable();
        };
    }

    private void onClaimReported(long nowNanos, ClaimReported told) {
        RunId run = told.run();
        if (told.result() instanceof ClaimResult.Recorded) {
            askedOutcomes.remove(run);
            return;
        }
        Asked claim = asked.remove(run);
        if (claim == null) {
            freeGivenUp(nowNanos, told);
            return;
        }
        switch (told.result()) {
            case ClaimResult.Acquired owned ->
                    settle(nowNanos, claim, run, new Claims.Result.Acquired());
            case ClaimResult.Taken taken ->
                    settle(
                            nowNanos,
                            claim,
                            run,
                            new Claims.Result.Taken(taken.holder(), taken.outcome()));
            case ClaimResult.Unavailable unavailable ->
                    claimHere(nowNanos, claim.key, run, claim.replaces);
            case ClaimResult.Recorded recorded -> {}
        }
    }

    private void settle(long nowNanos, Asked claim, RunId run, Claims.Result result) {
        settled.add(() -> listener.onClaimed(nowNanos, claim.key, run, result));
    }

    /** Frees a key whose claim landed after its call was given up. */
    private void freeGivenUp(long nowNanos, ClaimReported told) {
        RequestKey key = givenUp.get(told.run());
        if (key != null && told.result() instanceof ClaimResult.Acquired) {
            givenUp.remove(told.run());
            record(nowNanos, key, told.run(), NEVER);
        }
    }

    private void tick(long nowNanos) {
        store.tick(nowNanos);
        fallBack(nowNanos);
        repeatOutcomes(nowNanos);
        buckets.forEach(bucket -> bucket.tick(nowNanos));
        if (store.mayProbe(nowNanos)) {
            buckets.getFirst().probe(nowNanos);
        }
    }

    private void fallBack(long nowNanos) {
        for (Map.Entry<RunId, Asked> entry : List.copyOf(asked.entrySet())) {
            Asked claim = entry.getValue();
            if (nowNanos >= claim.fallBackNanos) {
                asked.remove(entry.getKey());
                claimHere(nowNanos, claim.key, entry.getKey(), claim.replaces);
            }
        }
    }

    private void repeatOutcomes(long nowNanos) {
        for (Map.Entry<RunId, RequestedOutcome> entry : List.copyOf(askedOutcomes.entrySet())) {
            RequestedOutcome outcome = entry.getValue();
            if (nowNanos < outcome.nextNanos) {
                continue;
            }
            Optional<HostId> writer = otherWriter(outcome.key);
            if (writer.isPresent() && outcome.tries < OUTCOME_TRIES) {
                askOutcome(nowNanos, entry.getKey(), outcome, writer.get());
                continue;
            }
            askedOutcomes.remove(entry.getKey());
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

    /** Returns the host that should write claims on {@code key}, unless it is this one. */
    private Optional<HostId> otherWriter(RequestKey key) {
        return Rendezvous.choose(fleet, PREFIX + bucketNumber(key))
                .filter(writer -> !writer.equals(self));
    }

    private void send(HostId to, RequestMessage message) {
        out.accept(new HostAction.SendRequest(to, message));
    }
}
