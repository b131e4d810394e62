package org.orioleshed.move;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.orioleshed.model.HostId;
import org.orioleshed.model.MoveId;
import org.orioleshed.model.Payload;

/** The platform's store for tests: swaps and leases, which can be away or lose answers. */
final class FakeStore {
    private final Map<String, Value> values = new TreeMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseMillis = new HashMap<>();
    private long revision;
    private long lastLease;
    private long nowNanos;

    /** Hosts that cannot reach the store. */
    final Set<HostId> cutOff = new HashSet<>();

    /** Whether the store answers nobody. */
    boolean away;

    /** How many of the next answers to swaps of records are lost. */
    int loseAnswers;

    /** Whether a swap whose answer is lost takes effect. */
    boolean lostTakeEffect = true;

    /** Outcomes that were written, by move. */
    final Map<String, Integer> outcomes = new HashMap<>();

    private record Value(Payload payload, long revision, long lease) {}

    void now(long nanos) {
        nowNanos = nanos;
        leaseEnds.values().removeIf(end -> end <= nanos);
        values.values().removeIf(value -> value.lease != 0 && !leaseEnds.containsKey(value.lease));
    }

    void put(String key, Payload payload) {
        values.put(key, new Value(payload, ++revision, 0));
    }

    Optional<Payload> value(String key) {
        return Optional.ofNullable(values.get(key)).map(Value::payload);
    }

    MoveRecord record(MoveId move) {
        try {
            return MoveRecord.parse(values.get(MoveRecord.key(move)).payload);
        } catch (BadRecordException e) {
            throw new AssertionError(e);
        }
    }

    private boolean isAway(HostId host) {
        return away || cutOff.contains(host);
    }

    MoveEvent swap(HostId host, MoveAction.SwapRecord swap) {
        if (isAway(host)) {
            return answer(swap, new MoveEvent.SwapAnswer.Away("away"));
        }
        boolean isRecord = swap.key().startsWith(MoveRecord.KEY_PREFIX);
        boolean lost = isRecord && loseAnswers > 0;
        if (lost) {
            loseAnswers--;
            if (!lostTakeEffect) {
                return answer(swap, new MoveEvent.SwapAnswer.Unknown("lost"));
            }
        }
        Value present = values.get(swap.key());
        long presentRevision = present == null ? 0 : present.revision;
        boolean leaseGone = swap.leaseId() != 0 && !leaseEnds.containsKey(swap.leaseId());
        if (presentRevision != swap.expectedRevision() || leaseGone) {
            Optional<Payload> payload = Optional.ofNullable(present).map(Value::payload);
            return answer(swap, new MoveEvent.SwapAnswer.Conflict(payload, presentRevision));
        }
        values.put(swap.key(), new Value(swap.value(), ++revision, swap.leaseId()));
        if (isRecord) {
            countOutcome(swap);
        }
        return answer(
                swap,
                lost
                        ? new MoveEvent.SwapAnswer.Unknown("lost")
                        : new MoveEvent.SwapAnswer.Swapped(revision));
    }

    private void countOutcome(MoveAction.SwapRecord swap) {
        try {
            if (MoveRecord.parse(swap.value()).state().isOutcome()) {
                outcomes.merge(swap.key(), 1, Integer::sum);
            }
        } catch (BadRecordException e) {
            throw new AssertionError(e);
        }
    }

    private static MoveEvent answer(MoveAction.SwapRecord swap, MoveEvent.SwapAnswer answer) {
        return new MoveEvent.SwapResult(swap.ticket(), answer);
    }

    Optional<MoveEvent> read(HostId host, MoveId move) {
        if (isAway(host)) {
            return Optional.empty();
        }
        return Optional.of(read(move));
    }

    private MoveEvent.RecordRead read(MoveId move) {
        Value value = values.get(MoveRecord.key(move));
        return value == null
                ? new MoveEvent.RecordRead(move, Optional.empty(), 0)
                : new MoveEvent.RecordRead(move, Optional.of(value.payload), value.revision);
    }

    Optional<MoveEvent> list(HostId host) {
        if (isAway(host)) {
            return Optional.empty();
        }
        List<MoveEvent.RecordRead> records = new ArrayList<>();
        for (String key : values.keySet()) {
            if (key.startsWith(MoveRecord.KEY_PREFIX)) {
                records.add(read(new MoveId(key.substring(MoveRecord.KEY_PREFIX.length()))));
            }
        }
        return Optional.of(new MoveEvent.RecordsListed(records));
    }

    MoveEvent grant(HostId host, MoveAction.GrantLease grant) {
        if (isAway(host)) {
            return new MoveEvent.LeaseResult(
                    grant.ticket(), new MoveEvent.LeaseAnswer.Away("away"));
        }
        leaseEnds.put(++lastLease, nowNanos + grant.ttlMillis() * MoveCore.NANOS_PER_MILLI);
        leaseMillis.put(lastLease, grant.ttlMillis());
        return new MoveEvent.LeaseResult(
                grant.ticket(), new MoveEvent.LeaseAnswer.Held(lastLease, grant.ttlMillis()));
    }

    MoveEvent keep(HostId host, MoveAction.KeepLease keep) {
        if (isAway(host)) {
            return new MoveEvent.LeaseResult(keep.ticket(), new MoveEvent.LeaseAnswer.Away("away"));
        }
        if (!leaseEnds.containsKey(keep.leaseId())) {
            return new MoveEvent.LeaseResult(keep.ticket(), new MoveEvent.LeaseAnswer.Lost("gone"));
        }
        long millis = leaseMillis.get(keep.leaseId());
        leaseEnds.put(keep.leaseId(), nowNanos + millis * MoveCore.NANOS_PER_MILLI);
        return new MoveEvent.LeaseResult(
                keep.ticket(), new MoveEvent.LeaseAnswer.Held(keep.leaseId(), millis));
    }
}
