package org.orioleshed.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.StateMachine;

/**
 * Activates the latest accepted settings on one host, received from the store or from peers. Never
 * reverts: rejects a lower revision, and a revision that does not descend from the active one.
 */
public final class SettingsPropagation implements StateMachine<SettingsEvent, SettingsAction> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long ADVERT_INTERVAL_NANOS = 500 * NANOS_PER_MILLI;
    private static final long PUSH_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;
    private static final long FETCH_TIMEOUT_NANOS = 300 * NANOS_PER_MILLI;
    // Time after the start in which peers can report a newer revision than the store's.
    private static final long START_GRACE_NANOS = 300 * NANOS_PER_MILLI;
    // Time after the start in which each new peer is sent an advert that requests a reply.
    private static final long START_REQUEST_NANOS = 3_000 * NANOS_PER_MILLI;
    private static final long ALARM_REPEAT_INTERVAL_NANOS = 60_000 * NANOS_PER_MILLI;
    private static final int ADVERT_FANOUT = 2;
    private static final int PUSH_FANOUT = 3;
    private static final int PUSH_ROUNDS = 3;
    private static final int CHUNK_BYTES = 32_768;
    private static final int MAX_DELTA_CHARACTERS = 24_000;

    private final RandomGenerator random;
    private final Set<HostId> requestedAtStart = new HashSet<>();
    private List<SettingsAction> actions = new ArrayList<>();
    private List<HostId> peers = List.of();
    private ActiveSettings active = ActiveSettings.NONE;
    private SettingsTree activeTree;
    private SettingsDocument deferredStoreDocument;
    private SettingsFetch fetch;
    private boolean storeConfirmed;
    private long storeUnavailableSinceNanos;
    private boolean storeUnavailable;
    private String lastAlarm = "";
    private long lastAlarmNanos;
    private long nowNanos;
    private long startNanos;
    private boolean started;
    private long nextAdvertNanos;
    private long nextPushNanos;
    private int remainingPushes;

    /**
     * Creates the propagation of a host that has just started.
     *
     * @param random selects the peers that receive adverts
     */
    public SettingsPropagation(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the settings status of this host. */
    public SettingsStatus status(long nowNanos) {
        long unavailableMillis =
                storeUnavailable ? (nowNanos - storeUnavailableSinceNanos) / NANOS_PER_MILLI : 0;
        return new SettingsStatus(
                active.number(),
                active.changeId(),
                !storeConfirmed,
                Math.max(0, unavailableMillis));
    }

    /** Returns the active document; empty if there is none. */
    public Optional<SettingsDocument> document() {
        return active.number() == 0 ? Optional.empty() : Optional.of(activeDocument());
    }

    @Override
    public List<SettingsAction> on(long nowNanos, SettingsEvent event) {
        this.nowNanos = nowNanos;
        actions = new ArrayList<>();
        if (!started) {
            started = true;
            startNanos = nowNanos;
        }
        switch (event) {
            case SettingsEvent.Tick tick -> onTick();
            case SettingsEvent.PeersChanged changed -> onPeersChanged(changed.peers());
            case SettingsEvent.StoreValueReceived received -> onStoreValue(received.value());
            case SettingsEvent.StoreValueUnchanged unchanged -> onStoreAvailable();
            case SettingsEvent.StoreUnavailable unavailable -> onStoreUnavailable();
            case SettingsEvent.Received received -> onMessage(received.from(), received.message());
        }
        return actions;
    }

    private void onTick() {
        if (deferredStoreDocument != null && nowNanos - startNanos >= START_GRACE_NANOS) {
            SettingsDocument document = deferredStoreDocument;
            deferredStoreDocument = null;
            onStoreDocument(document);
        }
        if (fetch != null && nowNanos - fetch.lastReceivedNanos() > FETCH_TIMEOUT_NANOS) {
            fetch = null;
            advertise(PUSH_FANOUT, true);
        }
        if (remainingPushes > 0 && nowNanos >= nextPushNanos) {
            push();
        }
        if (nowNanos >= nextAdvertNanos) {
            long jitterNanos = random.nextLong(ADVERT_INTERVAL_NANOS / 10);
            nextAdvertNanos = nowNanos + ADVERT_INTERVAL_NANOS - jitterNanos;
            advertise(ADVERT_FANOUT, active.number() == 0);
        }
    }

    private void onPeersChanged(List<HostId> newPeers) {
        peers = newPeers;
        if (nowNanos - startNanos > START_REQUEST_NANOS) {
            return;
        }
        for (HostId peer : newPeers) {
            if (requestedAtStart.add(peer)) {
                send(peer, advert(true));
            }
        }
    }

    private void onStoreValue(Optional<Payload> value) {
        onStoreAvailable();
        if (value.isEmpty()) {
            if (active.number() > 0) {
                alarm("the store has no settings, but revision " + active.number() + " is active");
            }
            return;
        }
        switch (SettingsDocument.decode(value.get())) {
            case SettingsDocument.Result.Problems invalid ->
                    alarm("the stored settings are unreadable: " + invalid.problems());
            case SettingsDocument.Result.Read read -> {
                boolean inStartGrace = nowNanos - startNanos < START_GRACE_NANOS;
                if (inStartGrace && active.number() == 0 && !peers.isEmpty()) {
                    deferredStoreDocument = read.document();
                    return;
                }
                onStoreDocument(read.document());
            }
        }
    }

    private void onStoreDocument(SettingsDocument document) {
        if (document.number() < active.number()) {
            alarm(
                    "the stored settings have revision "
                            + document.number()
                            + ", older than revision "
                            + active.number()
                            + ", which is active; the store may have been restored from a backup");
            return;
        }
        adopt(document, this::activeDocument, "the store");
    }

    private void onStoreAvailable() {
        storeConfirmed = true;
        storeUnavailable = false;
    }

    private void onStoreUnavailable() {
        if (!storeUnavailable) {
            storeUnavailable = true;
            storeUnavailableSinceNanos = nowNanos;
        }
    }

    /** Activates a document if it is newer and descends from the active revision. */
    private void adopt(
            SettingsDocument document, Supplier<SettingsDocument> activeDocument, String source) {
        if (document.number() < active.number()) {
            return;
        }
        if (document.number() == active.number() && document.changeId().equals(active.changeId())) {
            return;
        }
        if (active.number() > 0 && !document.descendsFrom(active.number(), active.changeId())) {
            alarm(
                    "revision "
                            + document.number()
                            + " from "
                            + source
                            + " does not follow from the active revision "
                            + active.number());
            return;
        }
        SettingsTree.Result result =
                active.number() == 0
                        ? document.check()
                        : document.checkAfter(activeDocument.get(), activeTree);
        switch (result) {
            case SettingsTree.Result.Problems invalid ->
                    alarm("settings from " + source + " are invalid: " + invalid.problems());
            case SettingsTree.Result.Loaded loaded -> {
                active = ActiveSettings.of(document);
                activeTree = loaded.tree();
                actions.add(
                        new SettingsAction.Adopt(
                                active.number(), active.changeId(), loaded.tree()));
                remainingPushes = PUSH_ROUNDS;
                push();
            }
        }
    }

    private void onMessage(HostId from, SettingsMessage message) {
        switch (message) {
            case SettingsMessage.Advert advert -> onAdvert(from, advert);
            case SettingsMessage.Fetch request -> onFetch(from, request);
            case SettingsMessage.Delta delta -> onDelta(from, delta);
            case SettingsMessage.Chunk chunk -> onChunk(from, chunk);
            case SettingsMessage.StatusRequest request ->
                    send(
                            from,
                            new SettingsMessage.StatusReport(request.ticket(), status(nowNanos)));
            case SettingsMessage.StatusReport report ->
                    actions.add(
                            new SettingsAction.StatusReceived(
                                    from, report.ticket(), report.status()));
        }
    }

    private void onAdvert(HostId from, SettingsMessage.Advert advert) {
        if (advert.number() > active.number()) {
            if (fetch == null) {
                startFetch(from, active.number(), active.changeId());
            }
            return;
        }
        boolean forked =
                advert.number() == active.number() && !advert.changeId().equals(active.changeId());
        if (forked) {
            alarm("host " + from + " has a different revision " + advert.number() + " active");
        }
        if (advert.wantReply() || advert.number() < active.number()) {
            send(from, advert(false));
        }
    }

    private void startFetch(HostId from, long haveNumber, String haveChangeId) {
        fetch = new SettingsFetch(from, nowNanos);
        send(from, new SettingsMessage.Fetch(haveNumber, haveChangeId, 0));
    }

    private void onFetch(HostId to, SettingsMessage.Fetch request) {
        if (active.number() == 0 || request.haveNumber() >= active.number()) {
            send(to, advert(false));
            return;
        }
        Optional<List<SettingsChange>> changes =
                active.changesAfter(request.haveNumber(), request.haveChangeId());
        if (request.offset() == 0 && changes.isPresent() && fitsInDelta(changes.get())) {
            send(
                    to,
                    new SettingsMessage.Delta(
                            request.haveNumber(), active.digest(), changes.get()));
            return;
        }
        sendChunk(to, request.offset());
    }

    private static boolean fitsInDelta(List<SettingsChange> changes) {
        int characters = 0;
        for (SettingsChange change : changes) {
            for (SettingsEdit edit : change.edits()) {
                characters += edit.path().length() + edit.json().map(String::length).orElse(0);
            }
        }
        return characters <= MAX_DELTA_CHARACTERS;
    }

    private void sendChunk(HostId to, int offset) {
        byte[] bytes = active.compressed().toBytes();
        int start = offset >= bytes.length ? 0 : offset;
        int end = Math.min(bytes.length, start + CHUNK_BYTES);
        Payload piece = Payload.of(Arrays.copyOfRange(bytes, start, end));
        send(
                to,
                new SettingsMessage.Chunk(
                        active.number(), active.changeId(), start, bytes.length, piece));
    }

    private void onDelta(HostId from, SettingsMessage.Delta delta) {
        if (fetch == null || !fetch.from().equals(from)) {
            return;
        }
        fetch = null;
        if (delta.fromNumber() != active.number() || active.number() == 0) {
            return;
        }
        SettingsDocument base = activeDocument();
        Optional<SettingsDocument> document = applyDelta(base, delta);
        if (document.isEmpty()) {
            startFetch(from, 0, "");
            return;
        }
        adopt(document.get(), () -> base, "host " + from);
    }

    private static Optional<SettingsDocument> applyDelta(
            SettingsDocument base, SettingsMessage.Delta delta) {
        SettingsDocument document = base;
        for (SettingsChange change : delta.changes()) {
            if (change.number() != document.number() + 1) {
                return Optional.empty();
            }
            if (!(document.with(change) instanceof SettingsDocument.Result.Read next)) {
                return Optional.empty();
            }
            document = next.document();
        }
        return document.digest() == delta.digest() ? Optional.of(document) : Optional.empty();
    }

    private void onChunk(HostId from, SettingsMessage.Chunk chunk) {
        if (fetch == null || !fetch.from().equals(from)) {
            return;
        }
        Optional<Payload> complete = fetch.append(chunk, nowNanos);
        if (complete.isEmpty()) {
            send(from, new SettingsMessage.Fetch(0, "", fetch.offset()));
            return;
        }
        fetch = null;
        switch (SettingsDocument.decode(complete.get())) {
            case SettingsDocument.Result.Problems invalid ->
                    alarm("settings from host " + from + " are unreadable: " + invalid.problems());
            case SettingsDocument.Result.Read read ->
                    adopt(read.document(), this::activeDocument, "host " + from);
        }
    }

    private SettingsDocument activeDocument() {
        return ((SettingsDocument.Result.Read) SettingsDocument.decode(active.compressed()))
                .document();
    }

    private void push() {
        remainingPushes--;
        nextPushNanos = nowNanos + PUSH_INTERVAL_NANOS;
        advertise(PUSH_FANOUT, false);
    }

    private void advertise(int fanout, boolean wantReply) {
        Set<HostId> chosen = new HashSet<>();
        for (int i = 0; i < fanout && !peers.isEmpty(); i++) {
            HostId peer = peers.get(random.nextInt(peers.size()));
            if (chosen.add(peer)) {
                send(peer, advert(wantReply));
            }
        }
    }

    private SettingsMessage advert(boolean wantReply) {
        return new SettingsMessage.Advert(active.number(), active.changeId(), wantReply);
    }

    private void send(HostId to, SettingsMessage message) {
        actions.add(new SettingsAction.Send(to, message));
    }

    private void alarm(String detail) {
        boolean repeated =
                detail.equals(lastAlarm) && nowNanos - lastAlarmNanos < ALARM_REPEAT_INTERVAL_NANOS;
        if (repeated) {
            return;
        }
        lastAlarm = detail;
        lastAlarmNanos = nowNanos;
        actions.add(new SettingsAction.Alarm(detail));
    }
}
