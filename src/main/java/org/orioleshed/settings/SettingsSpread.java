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
 * Brings the latest accepted settings into force at one host, from the store or from peers, and
 * never goes back: not to a lower revision, nor to one with another past.
 */
public final class SettingsSpread implements StateMachine<SettingsEvent, SettingsAction> {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long ADVERT_NANOS = 500 * NANOS_PER_MILLI;
    private static final long PUSH_NANOS = 100 * NANOS_PER_MILLI;
    private static final long FETCH_TIMEOUT_NANOS = 300 * NANOS_PER_MILLI;
    private static final long START_GRACE_NANOS = 300 * NANOS_PER_MILLI;
    private static final long START_ASK_NANOS = 3_000 * NANOS_PER_MILLI;
    private static final long ALARM_REPEAT_NANOS = 60_000 * NANOS_PER_MILLI;
    private static final int ADVERT_FANOUT = 2;
    private static final int PUSH_FANOUT = 3;
    private static final int PUSH_ROUNDS = 3;
    private static final int CHUNK_BYTES = 32_768;
    private static final int MAX_DELTA_CHARACTERS = 24_000;

    private final RandomGenerator random;
    private final Set<HostId> askedAtStart = new HashSet<>();
    private List<SettingsAction> actions = new ArrayList<>();
    private List<HostId> peers = List.of();
    private SettingsInForce inForce = SettingsInForce.NONE;
    private SettingsTree resolved;
    private SettingsDocument held;
    private SettingsFetch fetch;
    private boolean storeHeard;
    private long storeAwaySinceNanos;
    private boolean storeAway;
    private String lastAlarm = "";
    private long lastAlarmNanos;
    private long nowNanos;
    private long startedNanos;
    private boolean started;
    private long nextAdvertNanos;
    private long nextPushNanos;
    private int pushesLeft;

    /**
     * Makes the machine of a host that has just started.
     *
     * @param random chooses whom to tell
     */
    public SettingsSpread(RandomGenerator random) {
        this.random = random;
    }

    /** Returns how this host stands. */
    public SettingsStatus status(long now) {
        long awayMillis = storeAway ? (now - storeAwaySinceNanos) / NANOS_PER_MILLI : 0;
        return new SettingsStatus(
                inForce.number(), inForce.changeId(), !storeHeard, Math.max(0, awayMillis));
    }

    /** Returns the document in force; empty when there is none. */
    public Optional<SettingsDocument> document() {
        return inForce.number() == 0 ? Optional.empty() : Optional.of(documentInForce());
    }

    @Override
    public List<SettingsAction> on(long now, SettingsEvent event) {
        nowNanos = now;
        actions = new ArrayList<>();
        if (!started) {
            started = true;
            startedNanos = now;
        }
        switch (event) {
            case SettingsEvent.Tick tick -> tick();
            case SettingsEvent.PeersChanged changed -> takePeers(changed.peers());
            case SettingsEvent.StoreSaid said -> takeStore(said.value());
            case SettingsEvent.StoreSaidSame same -> storeAnswered();
            case SettingsEvent.StoreAway away -> markAway();
            case SettingsEvent.Received received -> receive(received.from(), received.message());
        }
        return actions;
    }

    private void tick() {
        if (held != null && nowNanos - startedNanos >= START_GRACE_NANOS) {
            SettingsDocument waited = held;
            held = null;
            judgeStore(waited);
        }
        if (fetch != null && nowNanos - fetch.heardNanos() > FETCH_TIMEOUT_NANOS) {
            fetch = null;
            advertise(PUSH_FANOUT, true);
        }
        if (pushesLeft > 0 && nowNanos >= nextPushNanos) {
            push();
        }
        if (nowNanos >= nextAdvertNanos) {
            long jitterNanos = random.nextLong(ADVERT_NANOS / 10);
            nextAdvertNanos = nowNanos + ADVERT_NANOS - jitterNanos;
            advertise(ADVERT_FANOUT, inForce.number() == 0);
        }
    }

    private void takePeers(List<HostId> changed) {
        peers = changed;
        if (nowNanos - startedNanos > START_ASK_NANOS) {
            return;
        }
        for (HostId peer : changed) {
            if (askedAtStart.add(peer)) {
                send(peer, advert(true));
            }
        }
    }

    private void takeStore(Optional<Payload> value) {
        storeAnswered();
        if (value.isEmpty()) {
            if (inForce.number() > 0) {
                alarm("the store has no settings, while revision " + inForce.number() + " rules");
            }
            return;
        }
        switch (SettingsDocument.decode(value.get())) {
            case SettingsDocument.Result.Problems bad ->
                    alarm("the store's settings can't be read: " + bad.problems());
            case SettingsDocument.Result.Read good -> {
                boolean early = nowNanos - startedNanos < START_GRACE_NANOS;
                if (early && inForce.number() == 0 && !peers.isEmpty()) {
                    held = good.document();
                    return;
                }
                judgeStore(good.document());
            }
        }
    }

    private void judgeStore(SettingsDocument document) {
        if (document.number() < inForce.number()) {
            alarm(
                    "the store's settings are of revision "
                            + document.number()
                            + ", older than revision "
                            + inForce.number()
                            + " in force: was it restored from a backup?");
            return;
        }
        adopt(document, this::documentInForce, "the store");
    }

    private void storeAnswered() {
        storeHeard = true;
        storeAway = false;
    }

    private void markAway() {
        if (!storeAway) {
            storeAway = true;
            storeAwaySinceNanos = nowNanos;
        }
    }

    /** Takes a document into force if it is later and this host's revision lies in its past. */
    private void adopt(
            SettingsDocument document, Supplier<SettingsDocument> before, String source) {
        if (document.number() < inForce.number()) {
            return;
        }
        if (document.number() == inForce.number()
                && document.changeId().equals(inForce.changeId())) {
            return;
        }
        if (inForce.number() > 0 && !document.descendsFrom(inForce.number(), inForce.changeId())) {
            alarm(
                    "revision "
                            + document.number()
                            + " of "
                            + source
                            + " does not follow from revision "
                            + inForce.number()
                            + " in force");
            return;
        }
        SettingsTree.Result result =
                inForce.number() == 0
                        ? document.check()
                        : document.checkAfter(before.get(), resolved);
        switch (result) {
            case SettingsTree.Result.Problems bad ->
                    alarm("settings of " + source + " are not valid: " + bad.problems());
            case SettingsTree.Result.Loaded good -> {
                inForce = SettingsInForce.of(document);
                resolved = good.tree();
                actions.add(
                        new SettingsAction.Adopt(
                                inForce.number(), inForce.changeId(), good.tree()));
                pushesLeft = PUSH_ROUNDS;
                push();
            }
        }
    }

    private void receive(HostId from, SettingsMessage message) {
        switch (message) {
            case SettingsMessage.Advert advert -> takeAdvert(from, advert);
            case SettingsMessage.Fetch wanted -> serve(from, wanted);
            case SettingsMessage.Delta delta -> takeDelta(from, delta);
            case SettingsMessage.Chunk chunk -> takeChunk(from, chunk);
            case SettingsMessage.StatusAsked asked ->
                    send(from, new SettingsMessage.StatusTold(asked.ticket(), status(nowNanos)));
            case SettingsMessage.StatusTold told ->
                    actions.add(new SettingsAction.Told(from, told.ticket(), told.status()));
        }
    }

    private void takeAdvert(HostId from, SettingsMessage.Advert advert) {
        if (advert.number() > inForce.number()) {
            if (fetch == null) {
                startFetch(from, inForce.number(), inForce.changeId());
            }
            return;
        }
        boolean forked =
                advert.number() == inForce.number()
                        && !advert.changeId().equals(inForce.changeId());
        if (forked) {
            alarm("host " + from + " has another revision " + advert.number() + " in force");
        }
        if (advert.wantReply() || advert.number() < inForce.number()) {
            send(from, advert(false));
        }
    }

    private void startFetch(HostId from, long haveNumber, String haveId) {
        fetch = new SettingsFetch(from, nowNanos);
        send(from, new SettingsMessage.Fetch(haveNumber, haveId, 0));
    }

    private void serve(HostId to, SettingsMessage.Fetch wanted) {
        if (inForce.number() == 0 || wanted.haveNumber() >= inForce.number()) {
            send(to, advert(false));
            return;
        }
        Optional<List<SettingsChange>> changes =
                inForce.changesAfter(wanted.haveNumber(), wanted.haveChangeId());
        if (wanted.offset() == 0 && changes.isPresent() && isSmall(changes.get())) {
            send(
                    to,
                    new SettingsMessage.Delta(
                            wanted.haveNumber(), inForce.digest(), changes.get()));
            return;
        }
        sendChunk(to, wanted.offset());
    }

    private static boolean isSmall(List<SettingsChange> changes) {
        int characters = 0;
        for (SettingsChange change : changes) {
            for (SettingsEdit edit : change.edits()) {
                characters += edit.path().length() + edit.json().map(String::length).orElse(0);
            }
        }
        return characters <= MAX_DELTA_CHARACTERS;
    }

    private void sendChunk(HostId to, int offset) {
        byte[] whole = inForce.packed().toBytes();
        int start = offset >= whole.length ? 0 : offset;
        int end = Math.min(whole.length, start + CHUNK_BYTES);
        Payload piece = Payload.of(Arrays.copyOfRange(whole, start, end));
        send(
                to,
                new SettingsMessage.Chunk(
                        inForce.number(), inForce.changeId(), start, whole.length, piece));
    }

    private void takeDelta(HostId from, SettingsMessage.Delta delta) {
        if (fetch == null || !fetch.from().equals(from)) {
            return;
        }
        fetch = null;
        if (delta.fromNumber() != inForce.number() || inForce.number() == 0) {
            return;
        }
        SettingsDocument before = documentInForce();
        Optional<SettingsDocument> document = applied(before, delta);
        if (document.isEmpty()) {
            startFetch(from, 0, "");
            return;
        }
        adopt(document.get(), () -> before, "host " + from);
    }

    private static Optional<SettingsDocument> applied(
            SettingsDocument before, SettingsMessage.Delta delta) {
        SettingsDocument document = before;
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

    private void takeChunk(HostId from, SettingsMessage.Chunk chunk) {
        if (fetch == null || !fetch.from().equals(from)) {
            return;
        }
        Optional<Payload> whole = fetch.take(chunk, nowNanos);
        if (whole.isEmpty()) {
            send(from, new SettingsMessage.Fetch(0, "", fetch.offset()));
            return;
        }
        fetch = null;
        switch (SettingsDocument.decode(whole.get())) {
            case SettingsDocument.Result.Problems bad ->
                    alarm("settings of host " + from + " can't be read: " + bad.problems());
            case SettingsDocument.Result.Read good ->
                    adopt(good.document(), this::documentInForce, "host " + from);
        }
    }

    private SettingsDocument documentInForce() {
        return ((SettingsDocument.Result.Read) SettingsDocument.decode(inForce.packed()))
                .document();
    }

    private void push() {
        pushesLeft--;
        nextPushNanos = nowNanos + PUSH_NANOS;
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
        return new SettingsMessage.Advert(inForce.number(), inForce.changeId(), wantReply);
    }

    private void send(HostId to, SettingsMessage message) {
        actions.add(new SettingsAction.Send(to, message));
    }

    private void alarm(String detail) {
        boolean repeated =
                detail.equals(lastAlarm) && nowNanos - lastAlarmNanos < ALARM_REPEAT_NANOS;
        if (repeated) {
            return;
        }
        lastAlarm = detail;
        lastAlarmNanos = nowNanos;
        actions.add(new SettingsAction.Alarm(detail));
    }
}
