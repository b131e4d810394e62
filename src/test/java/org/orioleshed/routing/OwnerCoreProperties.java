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

/** Properties of {@link OwnerCore} over random orders of events. */
class OwnerCoreProperties {
    private static final int PLACES = 4;
    private static final int QUEUE_LENGTH = 5;
    private static final List<Tier> TIERS = List.of(Tier.URGENT, Tier.STANDARD, Tier.PATIENT);
    private static final List<Long> DEADLINES_MILLIS = List.of(300L, 8_000L, 60_000L, 3_600_000L);

    private static final RoutingLimits LIMITS =
            new RoutingLimits(Policy.ORIOLESHED, 1_600, 79, QUEUE_LENGTH, 1_000, 2, 20_000, 5_000);

    /** One thing that happens; what {@code a} and {@code b} choose depends on the kind. */
    record Happening(Kind kind, int a, int b) {}

    /** What can happen. */
    enum Kind {
        OFFER,
        BURST,
        REPEAT,
        FINISH,
        CONFIRM_CANCEL,
        CANCEL,
        WITHDRAW,
        TOKENS,
        PASS
    }

    @Provide
    Arbitrary<List<Happening>> happenings() {
        Arbitrary<Kind> kinds = Arbitraries.of(Kind.class);
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 1_000);
        return Combinators.combine(kinds, numbers, numbers)
                .as(Happening::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(150);
    }

    @Property(seed = "11", tries = 400)
    boolean keepsTierAndDeadlineOrderAndShedsNoUrgentWorkWhileALowerTierRuns(
            @ForAll("happenings") List<Happening> happenings) {
        OneServer owner = new OneServer(LIMITS, PLACES);
        owner.tell(new HostEvent.WallClock(0));
        for (Happening happening : happenings) {
            apply(owner, happening);
            if (!owner.violations.isEmpty() || owner.onEngine.size() > PLACES) {
                throw new AssertionError(owner.violations + " on engine " + owner.onEngine);
            }
        }
        return true;
    }

    @Property(seed = "12", tries = 200)
    boolean nothingIsForgotten(@ForAll("happenings") List<Happening> happenings) {
        OneServer owner = new OneServer(LIMITS, PLACES);
        for (Happening happening : happenings) {
            apply(owner, happening);
        }
        for (int i = 0; i < 2_000 && !owner.core.isIdle(); i++) {
            List.copyOf(owner.cancelling).forEach(owner::confirmCancel);
            List.copyOf(owner.onEngine).forEach(owner::finish);
            owner.pass(100);
        }
        return owner.core.isIdle() && owner.waiting.isEmpty() && owner.onEngine.isEmpty();
    }

    @Property(seed = "13", tries = 200)
    boolean agreesWithFirstInFirstOutForOneTierAndWorkspace(
            @ForAll("happenings") List<Happening> happenings) {
        OneServer clever = new OneServer(RoutingLimits.DEFAULTS, PLACES);
        OneServer naive = new OneServer(RoutingLimits.DEFAULTS.withPolicy(Policy.NAIVE), PLACES);
        Queue<RunId> line = new ArrayDeque<>();
        List<RunId> expected = new ArrayList<>();
        int running = 0;
        long sequence = 0;
        for (Happening happening : happenings) {
            if (happening.kind() == Kind.FINISH && running > 0) {
                RunId done = expected.get(expected.size() - running);
                clever.finish(done);
                naive.finish(done);
                running--;
            } else {
                RunId run = FleetSnapshots.run(++sequence);
                line.add(run);
                clever.offer(run, FleetSnapshots.offer(Tier.STANDARD, 3_600_000));
                naive.offer(run, FleetSnapshots.offer(Tier.STANDARD, 3_600_000));
                clever.pass(20);
                naive.pass(20);
            }
            while (running < PLACES && !line.isEmpty()) {
                expected.add(line.remove());
                running++;
            }
        }
        return clever.granted.equals(expected) && naive.granted.equals(expected);
    }

    private static void apply(OneServer owner, Happening happening) {
        switch (happening.kind()) {
            case OFFER -> offer(owner, happening.a(), happening.b());
            case BURST -> {
                for (int i = 0; i < 8; i++) {
                    offer(owner, happening.a(), happening.b());
                }
            }
            case REPEAT ->
                    any(
                            List.copyOf(owner.tiers.keySet()),
                            happening.a(),
                            run -> repeat(owner, run));
            case FINISH -> any(List.copyOf(owner.onEngine), happening.a(), owner::finish);
            case CONFIRM_CANCEL ->
                    any(List.copyOf(owner.cancelling), happening.a(), owner::confirmCancel);
            case CANCEL ->
                    any(
                            List.copyOf(owner.tiers.keySet()),
                            happening.a(),
                            run -> owner.receive(new RoutingMessage.Cancelled(run)));
            case WITHDRAW ->
                    any(
                            List.copyOf(owner.waiting.keySet()),
                            happening.a(),
                            run -> {
                                owner.waiting.remove(run);
                                owner.receive(new RoutingMessage.Withdrawn(run, OneServer.SERVER));
                            });
            case TOKENS ->
                    any(
                            List.copyOf(owner.onEngine),
                            happening.a(),
                            run -> owner.tokens(run, 0, 1 + happening.b() % 5));
            case PASS -> owner.pass(happening.a());
        }
    }

    private static void offer(OneServer owner, int a, int b) {
        RunId run = FleetSnapshots.run(owner.tiers.size() + 1L);
        Tier tier = TIERS.get(a % TIERS.size());
        long remainingMillis = DEADLINES_MILLIS.get(b % DEADLINES_MILLIS.size()) + a;
        owner.offer(run, FleetSnapshots.offer(tier, remainingMillis, 1 + a % 4, b / 7 % 4));
    }

    private static void repeat(OneServer owner, RunId run) {
        owner.receive(new RoutingMessage.Placed(run, OneServer.SERVER, Payload.EMPTY, 0, 10));
    }

    private static void any(List<RunId> runs, int choice, Consumer<RunId> action) {
        if (!runs.isEmpty()) {
            action.accept(runs.get(choice % runs.size()));
        }
    }
}
