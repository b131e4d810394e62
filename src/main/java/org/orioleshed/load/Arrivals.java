package org.orioleshed.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws an open-loop plan of requests: Poisson arrivals with a short burst now and then, the same
 * for the same seed.
 */
final class Arrivals {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long BURST_EVERY_MILLIS = 10_000;
    private static final long BURST_MILLIS = 1_000;
    private static final double BURST_FACTOR = 2;

    /** One drawn request, before the order of all arrivals is known. */
    private record Draw(
            long atMillis, Traffic traffic, String workspace, int promptTokens, int answerTokens) {}

    private Arrivals() {}

    static List<PlannedRequest> plan(List<Traffic> mix, double seconds, long seed) {
        List<Draw> draws = new ArrayList<>();
        for (int kind = 0; kind < mix.size(); kind++) {
            SplittableRandom random = new SplittableRandom(seed * 31 + kind);
            draw(mix.get(kind), seconds * MILLIS_PER_SECOND, random, draws);
        }
        draws.sort(Comparator.comparingLong(Draw::atMillis));
        List<PlannedRequest> plan = new ArrayList<>();
        for (Draw draw : draws) {
            int index = plan.size();
            plan.add(
                    new PlannedRequest(
                            index,
                            draw.atMillis(),
                            draw.traffic(),
                            draw.workspace(),
                            draw.promptTokens(),
                            draw.answerTokens(),
                            "s" + seed + "r" + index));
        }
        return plan;
    }

    private static void draw(
            Traffic traffic, double endMillis, SplittableRandom random, List<Draw> draws) {
        if (traffic.perSecond() <= 0) {
            return;
        }
        double at = 0;
        while (true) {
            double rate = traffic.perSecond() / MILLIS_PER_SECOND;
            boolean burst = at % BURST_EVERY_MILLIS >= BURST_EVERY_MILLIS - BURST_MILLIS;
            at += -Math.log(1 - random.nextDouble()) / (burst ? rate * BURST_FACTOR : rate);
            if (at >= endMillis) {
                return;
            }
            draws.add(drawOne(traffic, (long) at, random));
        }
    }

    private static Draw drawOne(Traffic traffic, long atMillis, SplittableRandom random) {
        List<String> workspaces = traffic.workspaces();
        String workspace = workspaces.get(random.nextInt(workspaces.size()));
        return switch (traffic.ask()) {
            case Traffic.Ask.Text text ->
                    new Draw(
                            atMillis,
                            traffic,
                            workspace,
                            text.prompt().draw(random),
                            text.answer().draw(random));
            case Traffic.Ask.Call call -> new Draw(atMillis, traffic, workspace, 0, 0);
        };
    }
}
