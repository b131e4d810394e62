package org.orioleshed.rollout;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.peer.BadMessageException;

/**
 * Guards against evidence that depends on the order or number of messages, against malformed
 * messages and records, and against a negative alarm.
 */
class RolloutProperties {
    private static final FailureDomain DOMAIN = new FailureDomain("d");

    @Property(seed = "11", tries = 300)
    void evidenceMergesTheSameInAnyOrderAndRepetition(@ForAll Random random) {
        List<RolloutMessage.Evidence> messages = history(random);
        PooledEvidence inOrder = pooled();
        messages.forEach(message -> merge(inOrder, message));
        List<RolloutMessage.Evidence> mixed = new ArrayList<>(messages);
        mixed.addAll(messages.subList(0, messages.size() / 2));
        Collections.shuffle(mixed, random);
        PooledEvidence anyOrder = pooled();
        mixed.forEach(message -> merge(anyOrder, message));
        assertEquals(anyOrder.newRuns(), inOrder.newRuns());
    }

    private static List<RolloutMessage.Evidence> history(Random random) {
        RolloutMessage.Key key =
                new RolloutMessage.Key(new RouteId("r0"), FakeFleet.NEW, LoadBand.LOW);
        List<RolloutMessage.Evidence> messages = new ArrayList<>();
        Tally tally = Tally.NONE;
        for (int i = 0; i < 20; i++) {
            tally = tally.plus(new Tally(1 + random.nextInt(5), random.nextInt(2), 0, 1, 0));
            messages.add(evidence(Map.of(key, tally)));
        }
        return messages;
    }

    private static RolloutMessage.Evidence evidence(Map<RolloutMessage.Key, Tally> tallies) {
        return new RolloutMessage.Evidence(FakeFleet.ROLLOUT, DOMAIN, 1, false, 0, tallies);
    }

    private static PooledEvidence pooled() {
        RolloutRecord record =
                RolloutRecord.plan(
                        FakeFleet.ROLLOUT,
                        FakeFleet.LETTERS,
                        FakeFleet.OLD,
                        FakeFleet.NEW,
                        FakeFleet.routes(1),
                        1,
                        2,
                        List.of(),
                        "operator",
                        "test");
        return new PooledEvidence(record, RolloutLimits.DEFAULT);
    }

    private static void merge(PooledEvidence pooled, RolloutMessage.Evidence message) {
        pooled.merge(0, new HostId("h"), DOMAIN, message.incarnation(), message.tallies());
    }

    @Property(seed = "12", tries = 200)
    void evidenceSurvivesTheCodec(
            @ForAll @IntRange(min = 0, max = 1_000_000) int runs,
            @ForAll boolean breaker,
            @ForAll LoadBand band)
            throws BadMessageException {
        Map<RolloutMessage.Key, Tally> tallies = new HashMap<>();
        Tally tally = new Tally(runs, runs / 2, runs / 3, runs, runs / 5);
        tallies.put(new RolloutMessage.Key(new RouteId("r"), FakeFleet.NEW, band), tally);
        RolloutMessage message =
                new RolloutMessage.Evidence(
                        new RolloutId("m"), DOMAIN, runs, breaker, runs, tallies);
        RolloutCodec codec = new RolloutCodec();
        assertEquals(codec.decode(codec.encode(message)), message);
    }

    @Property(seed = "13", tries = 2_000)
    void anyBytesGiveAMessageOrATypedError(@ForAll byte[] bytes) {
        try {
            new RolloutCodec().decode(bytes);
        } catch (BadMessageException e) {
            assertEquals(e.getMessage().isBlank(), false);
        }
    }

    @Property(seed = "14", tries = 2_000)
    void anyTextGivesARecordOrATypedError(@ForAll String text) {
        try {
            RolloutRecord.parse(Payload.of(text));
        } catch (BadRecordException e) {
            assertEquals(e.getMessage().isBlank(), false);
        }
    }

    @Property(seed = "15", tries = 200)
    void alarmNeverFallsBelowZeroAndGoodRunsLowerIt(
            @ForAll @DoubleRange(min = 0.01, max = 0.5) double goodRate,
            @ForAll @IntRange(min = 0, max = 50) int bad) {
        SequentialRateTest test = new SequentialRateTest();
        test.add(bad, bad, goodRate, 0.1);
        double before = test.alarm();
        test.add(10, 0, goodRate, 0.1);
        assertEquals(test.alarm() >= 0 && test.alarm() <= before, true);
        test.add(1_000_000, 0, goodRate, 0.1);
        assertEquals(test.alarm(), 0.0);
    }
}
