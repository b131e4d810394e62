package org.orioleshed.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates an open-loop plan of requests: Poisson arrivals with periodic short bursts. The same
 * seed gives the same plan.
 */
final class Arrivals {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long BURST_PERIOD_MILLIS = 10_000;
    private static final long BURST_MILLIS = 1_000;
    private static final double BURST_FACTOR = 2;

    /** A generated request, before all requests are sorted by arrival. */
    private record Arrival(
            long atMillis, Traffic traffic, String workspace, int promptTokens, int answerTokens) {}

    private Arrivals() {}

    static List<PlannedRequest> plan(List<Traffic> mix, double seconds, long seed) {
        List<Arrival> arrivals = new ArrayList<>();
        for (int index = 0; index < mix.size(); index++) {
            SplittableRandom random = new SplittableRandom(seed * 31 + index);
            generate(mix.get(index), seconds * MILLIS_PER_SECOND, random, arrivals);
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
        List<PlannedRequest> plan = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            int position = plan.size();
            plan.add(
                    new PlannedRequest(
                            position,
                            arrival.atMillis(),
                            arrival.traffic(),
                            arrival.workspace(),
                            arrival.promptTokens(),
                            arrival.answerTokens(),
                            "s" + seed + "r" + position));
        }
        return plan;
    }

    private static void generate(
            Traffic traffic, double endMillis, SplittableRandom random, List<Arrival> arrivals) {
        if (traffic.perSecond() <= 0) {
            return;
        }
        double nowMillis = 0;
        while (true) {
            double rate = traffic.perSecond() / MILLIS_PER_SECOND;
            boolean burst = nowMillis % BURST_PERIOD_MILLIS >= BURST_PERIOD_MILLIS - BURST_MILLIS;
            nowMillis += -Math.log(1 - random.nextDouble()) / (burst ? rate * BURST_FACTOR : rate);
            if (nowMillis >= endMillis) {
                return;
            }
            arrivals.add(nextArrival(traffic, (long) nowMillis, random));
        }
    }

    private static Arrival nextArrival(Traffic traffic, long atMillis, SplittableRandom random) {
        List<String> workspaces = traffic.workspaces();
        String workspace = workspaces.get(random.nextInt(workspaces.size()));
        return switch (traffic.payload()) {
            case Traffic.Payload.Text text ->
                    new Arrival(
                            atMillis,
                            traffic,
                            workspace,
                            text.prompt().draw(random),
                            text.answer().draw(random));
            case Traffic.Payload.Call call -> new Arrival(atMillis, traffic, workspace, 0, 0);
        };
    }
}
