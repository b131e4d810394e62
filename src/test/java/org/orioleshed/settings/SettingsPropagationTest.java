package org.orioleshed.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link SettingsPropagation} between two hosts with simulated time and messages. */
public class SettingsPropagationTest {
    private static final long STEP_NANOS = 50_000_000;
    private static final int WORKSPACES = 7_100;
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");

    private record Envelope(HostId from, HostId to, SettingsMessage message) {}

    private final Map<HostId, SettingsPropagation> hosts = new LinkedHashMap<>();
    private final Map<HostId, List<Long>> adopted = new LinkedHashMap<>();
    private final ArrayDeque<Envelope> inFlight = new ArrayDeque<>();
    private final List<String> alarms = new ArrayList<>();
    private final List<SettingsMessage> sent = new ArrayList<>();
    private long nowNanos;

    @BeforeMethod
    public void clear() {
        hosts.clear();
        adopted.clear();
        inFlight.clear();
        alarms.clear();
        sent.clear();
        nowNanos = 0;
        start(A);
        start(B);
    }

    private void start(HostId host) {
        hosts.put(host, new SettingsPropagation(new Random(1)));
        adopted.put(host, new ArrayList<>());
        handle(host, new SettingsEvent.PeersChanged(List.of(host.equals(A) ? B : A)));
    }

    private void handle(HostId host, SettingsEvent event) {
        for (SettingsAction action : hosts.get(host).on(nowNanos, event)) {
            switch (action) {
                case SettingsAction.Send send -> {
                    inFlight.add(new Envelope(host, send.to(), send.message()));
                    sent.add(send.message());
                }
                case SettingsAction.Adopt adopt -> adopted.get(host).add(adopt.number());
                case SettingsAction.Alarm alarm -> alarms.add(alarm.detail());
                case SettingsAction.StatusReceived status -> {}
            }
        }
    }

    private void runSteps(int steps) {
        for (int i = 0; i < steps; i++) {
            nowNanos += STEP_NANOS;
            for (int waiting = inFlight.size(); waiting > 0; waiting--) {
                Envelope envelope = inFlight.poll();
                handle(
                        envelope.to(),
                        new SettingsEvent.Received(envelope.from(), envelope.message()));
            }
            hosts.keySet().forEach(host -> handle(host, new SettingsEvent.Tick()));
        }
    }

    private static SettingsDocument document(String text) {
        return ((SettingsDocument.Result.Read) SettingsDocument.decode(Payload.of(text)))
                .document();
    }

    private static SettingsDocument changed(SettingsDocument document, String id) {
        SettingsChange change =
                new SettingsChange(
                        document.number() + 1,
                        id,
                        "litia",
                        "test",
                        0,
                        List.of(SettingsEdit.set("/limits/moveSpreadMillis", "1000")));
        return ((SettingsDocument.Result.Read) document.with(change)).document();
    }

    private void provideStoreValue(HostId host, SettingsDocument document) {
        handle(host, new SettingsEvent.StoreValueReceived(Optional.of(document.encode())));
    }

    private long number(HostId host) {
        return hosts.get(host).status(nowNanos).number();
    }

    @Test
    public void newHostReceivesLargeTreeInChunks() {
        provideStoreValue(A, document(LargeTree.text(WORKSPACES, 10)));
        runSteps(40);
        assertEquals(number(B), 1);
        assertTrue(sent.stream().filter(SettingsMessage.Chunk.class::isInstance).count() > 2);
    }

    @Test
    public void hostOneRevisionBehindReceivesOnlyDelta() {
        SettingsDocument first = document(LargeTree.text(WORKSPACES, 10));
        provideStoreValue(A, first);
        provideStoreValue(B, first);
        runSteps(10);
        sent.clear();
        provideStoreValue(A, changed(first, "c1"));
        runSteps(10);
        assertEquals(number(B), 2);
        assertTrue(sent.stream().noneMatch(SettingsMessage.Chunk.class::isInstance));
    }

    @Test
    public void rejectsDivergentRevisionFromStoreAndPeers() {
        SettingsDocument first = document("{}");
        provideStoreValue(A, first);
        runSteps(10);
        provideStoreValue(A, changed(first, "ours"));
        runSteps(10);
        SettingsDocument forked = changed(changed(first, "theirs"), "theirs-2");
        provideStoreValue(B, forked);
        runSteps(20);
        assertEquals(adopted.get(A), List.of(1L, 2L));
        assertEquals(adopted.get(B), List.of(1L, 2L));
        assertTrue(alarms.getFirst().contains("does not follow"), alarms.toString());
    }

    @Test
    public void rejectsLowerRevisionWithOneAlarm() {
        SettingsDocument first = document("{}");
        provideStoreValue(A, changed(first, "c1"));
        runSteps(10);
        provideStoreValue(A, first);
        provideStoreValue(A, first);
        assertEquals(number(A), 2);
        assertEquals(alarms.size(), 1);
        assertTrue(alarms.getFirst().contains("older"), alarms.toString());
    }

    @Test
    public void newHostWaitsForPeersBeforeUsingStoreValue() {
        SettingsDocument first = document("{}");
        provideStoreValue(A, changed(first, "c1"));
        runSteps(10);
        start(B);
        hosts.get(B);
        nowNanos += STEP_NANOS;
        provideStoreValue(B, first);
        runSteps(20);
        assertEquals(adopted.get(B), List.of(2L));
    }

    @Test
    public void neverActivatesInvalidSettings() {
        provideStoreValue(A, document("{}"));
        runSteps(10);
        SettingsChange bad =
                new SettingsChange(
                        2,
                        "bad",
                        "litia",
                        "test",
                        0,
                        List.of(SettingsEdit.set("/limits/moveSpreadMillis", "-1")));
        SettingsDocument document =
                ((SettingsDocument.Result.Read) document("{}").with(bad)).document();
        provideStoreValue(A, document);
        runSteps(10);
        assertEquals(number(A), 1);
        assertEquals(alarms.size(), 1);
    }
}
