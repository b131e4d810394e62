package org.orioleshed.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RunId;
import org.orioleshed.model.Tier;

/** Properties of {@link OwnerCore} over random sequences of events. */
class OwnerCoreProperties {
    private static final int SLOTS = 4;
    private static final int QUEUE_LENGTH = 5;
    private static final List<Tier> TIERS = List.of(Tier.URGENT, Tier.STANDARD, Tier.PATIENT);
    private static final List<Long> DEADLINES_MILLIS = List.of(300L, 8_000L, 60_000L, 3_600_000L);

    private static final RoutingLimits LIMITS =
            new RoutingLimits(Policy.ORIOLESHED, 1_600, 79, QUEUE_LENGTH, 1_000, 2, 20_000, 5_000);

    /** One event; the meaning of {@code a} and {@code b} depends on the kind. */
    record Step(Kind kind, int a, int b) {}

    /** The kinds of events. */
    enum Kind {
        OFFER,
        BURST,
        REPEAT_PLACEMENT,
        FINISH,
        CONFIRM_CANCEL,
        CANCEL,
        WITHDRAW,
        TOKENS,
        ADVANCE_TIME
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Kind> kinds = Arbitraries.of(Kind.class);
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 1_000);
        return Combinators.combine(kinds, numbers, numbers)
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(150);
    }

    @Property(seed = "11", tries = 400)
    boolean keepsTierAndDeadlineOrderAndShedsNoUrgentWorkWhileALowerTierRuns(
            @ForAll("steps") List<Step> steps) {
        OneServer owner = new OneServer(LIMITS, SLOTS);
        owner.handle(new HostEvent.WallClock(0));
        for (Step step : steps) {
            apply(owner, step);
            if (!owner.violations.isEmpty() || owner.onEngine.size() > SLOTS) {
                throw new AssertionError(owner.violations + " on engine " + owner.onEngine);
            }
        }
        return true;
    }

    @Property(seed = "12", tries = 200)
    boolean everyOfferIsSettled(@ForAll("steps") List<Step> steps) {
        OneServer owner = new OneServer(LIMITS, SLOTS);
        for (Step step : steps) {
            apply(owner, step);
        }
        for (int i = 0; i < 2_000 && !owner.core.isIdle(); i++) {
            List.copyOf(owner.cancelling).forEach(owner::confirmCancel);
            List.copyOf(owner.onEngine).forEach(owner::finish);
            owner.advance(100);
        }
        return owner.core.isIdle() && owner.waiting.isEmpty() && owner.onEngine.isEmpty();
    }

    @Property(seed = "13", tries = 200)
    boolean grantsFirstInFirstOutWithinOneTierAndWorkspace(@ForAll("steps") List<Step> steps) {
        OneServer prioritized = new OneServer(RoutingLimits.DEFAULTS, SLOTS);
        OneServer naive = new OneServer(RoutingLimits.DEFAULTS.withPolicy(Policy.NAIVE), SLOTS);
        Queue<RunId> waiting = new ArrayDeque<>();
        List<RunId> expected = new ArrayList<>();
        int running = 0;
        long sequence = 0;
        for (Step step : steps) {
            if (step.kind() == Kind.FINISH && running > 0) {
                RunId done = expected.get(expected.size() - running);
                prioritized.finish(done);
                naive.finish(done);
                running--;
            } else {
                RunId run = FleetSnapshots.run(++sequence);
                waiting.add(run);
                prioritized.offer(run, FleetSnapshots.offer(Tier.STANDARD, 3_600_000));
                naive.offer(run, FleetSnapshots.offer(Tier.STANDARD, 3_600_000));
                prioritized.advance(20);
                naive.advance(20);
            }
            while (running < SLOTS && !waiting.isEmpty()) {
                expected.add(waiting.remove());
                running++;
            }
        }
        return prioritized.granted.equals(expected) && naive.granted.equals(expected);
    }

    private static void apply(OneServer owner, Step step) {
        switch (step.kind()) {
            case OFFER -> offer(owner, step.a(), step.b());
            case BURST -> {
                for (int i = 0; i < 8; i++) {
                    offer(owner, step.a(), step.b());
                }
            }
            case REPEAT_PLACEMENT ->
                    applyToAny(
                            List.copyOf(owner.tiers.keySet()),
                            step.a(),
                            run -> repeatPlacement(owner, run));
            case FINISH -> applyToAny(List.copyOf(owner.onEngine), step.a(), owner::finish);
            case CONFIRM_CANCEL ->
                    applyToAny(List.copyOf(owner.cancelling), step.a(), owner::confirmCancel);
            case CANCEL ->
                    applyToAny(
                            List.copyOf(owner.tiers.keySet()),
                            step.a(),
                            run -> owner.receive(new RoutingMessage.Cancelled(run)));
            case WITHDRAW ->
                    applyToAny(
                            List.copyOf(owner.waiting.keySet()),
                            step.a(),
                            run -> {
                                owner.waiting.remove(run);
                                owner.receive(new RoutingMessage.Withdrawn(run, OneServer.SERVER));
                            });
            case TOKENS ->
                    applyToAny(
                            List.copyOf(owner.onEngine),
                            step.a(),
                            run -> owner.tokens(run, 0, 1 + step.b() % 5));
            case ADVANCE_TIME -> owner.advance(step.a());
        }
    }

    private static void offer(OneServer owner, int a, int b) {
        RunId run = FleetSnapshots.run(owner.tiers.size() + 1L);
        Tier tier = TIERS.get(a % TIERS.size());
        long remainingMillis = DEADLINES_MILLIS.get(b % DEADLINES_MILLIS.size()) + a;
        owner.offer(run, FleetSnapshots.offer(tier, remainingMillis, 1 + a % 4, b / 7 % 4));
    }

    private static void repeatPlacement(OneServer owner, RunId run) {
        owner.receive(new RoutingMessage.Placed(run, OneServer.SERVER, Payload.EMPTY, 0, 10));
    }

    private static void applyToAny(List<RunId> runs, int choice, Consumer<RunId> action) {
        if (!runs.isEmpty()) {
            action.accept(runs.get(choice % runs.size()));
        }
    }
}
