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

/** Properties of {@link HomeCore} over random orders of events. */
class HomeCoreProperties {
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
        OneServer home = new OneServer(LIMITS, PLACES);
        home.tell(new HostEvent.WallClock(0));
        for (Happening happening : happenings) {
            apply(home, happening);
            if (!home.violations.isEmpty() || home.onEngine.size() > PLACES) {
                throw new AssertionError(home.violations + " on engine " + home.onEngine);
            }
        }
        return true;
    }

    @Property(seed = "12", tries = 200)
    boolean nothingIsForgotten(@ForAll("happenings") List<Happening> happenings) {
        OneServer home = new OneServer(LIMITS, PLACES);
        for (Happening happening : happenings) {
            apply(home, happening);
        }
        for (int i = 0; i < 2_000 && !home.core.isIdle(); i++) {
            List.copyOf(home.cancelling).forEach(home::confirmCancel);
            List.copyOf(home.onEngine).forEach(home::finish);
            home.pass(100);
        }
        return home.core.isIdle() && home.waiting.isEmpty() && home.onEngine.isEmpty();
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
                RunId run = Worlds.run(++sequence);
                line.add(run);
                clever.offer(run, Worlds.offer(Tier.STANDARD, 3_600_000));
                naive.offer(run, Worlds.offer(Tier.STANDARD, 3_600_000));
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

    private static void apply(OneServer home, Happening happening) {
        switch (happening.kind()) {
            case OFFER -> offer(home, happening.a(), happening.b());
            case BURST -> {
                for (int i = 0; i < 8; i++) {
                    offer(home, happening.a(), happening.b());
                }
            }
            case REPEAT ->
                    any(List.copyOf(home.tiers.keySet()), happening.a(), run -> repeat(home, run));
            case FINISH -> any(List.copyOf(home.onEngine), happening.a(), home::finish);
            case CONFIRM_CANCEL ->
                    any(List.copyOf(home.cancelling), happening.a(), home::confirmCancel);
            case CANCEL ->
                    any(
                            List.copyOf(home.tiers.keySet()),
                            happening.a(),
                            run -> home.receive(new RoutingMessage.Cancelled(run)));
            case WITHDRAW ->
                    any(
                            List.copyOf(home.waiting.keySet()),
                            happening.a(),
                            run -> {
                                home.waiting.remove(run);
                                home.receive(new RoutingMessage.Withdrawn(run, OneServer.SERVER));
                            });
            case TOKENS ->
                    any(
                            List.copyOf(home.onEngine),
                            happening.a(),
                            run -> home.tokens(run, 0, 1 + happening.b() % 5));
            case PASS -> home.pass(happening.a());
        }
    }

    private static void offer(OneServer home, int a, int b) {
        RunId run = Worlds.run(home.tiers.size() + 1L);
        Tier tier = TIERS.get(a % TIERS.size());
        long remainingMillis = DEADLINES_MILLIS.get(b % DEADLINES_MILLIS.size()) + a;
        home.offer(run, Worlds.offer(tier, remainingMillis, 1 + a % 4, b / 7 % 4));
    }

    private static void repeat(OneServer home, RunId run) {
        home.receive(new RoutingMessage.Placed(run, OneServer.SERVER, Payload.EMPTY, 0, 10));
    }

    private static void any(List<RunId> runs, int choice, Consumer<RunId> action) {
        if (!runs.isEmpty()) {
            action.accept(runs.get(choice % runs.size()));
        }
    }
}
