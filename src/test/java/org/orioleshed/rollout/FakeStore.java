package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;

/**
 * In-memory store for tests, with compare-and-swap and leases, which can be unavailable or lose
 * answers.
 */
final class FakeStore {
    private final Map<String, Value> values = new TreeMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseMillis = new HashMap<>();
    private long revision;
    private long lastLease;
    private long nowNanos;

    /** Hosts that cannot reach the store. */
    final Set<HostId> disconnected = new HashSet<>();

    /** Whether the store is unavailable to all hosts. */
    boolean unavailable;

    /** How many of the next answers to swaps of records are lost. */
    int loseAnswers;

    /** Whether a swap whose answer is lost takes effect. */
    boolean lostTakeEffect = true;

    /** The number of outcomes written, by record key. */
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

    RolloutRecord record(RolloutId rollout) {
        try {
            return RolloutRecord.parse(values.get(RolloutRecord.key(rollout)).payload);
        } catch (BadRecordException e) {
            throw new AssertionError(e);
        }
    }

    private boolean isUnavailable(HostId host) {
        return unavailable || disconnected.contains(host);
    }

    RolloutEvent swap(HostId host, RolloutAction.SwapRecord swap) {
        if (isUnavailable(host)) {
            return answer(swap, new RolloutEvent.SwapAnswer.Unavailable("unavailable"));
        }
        boolean isRecord = swap.key().startsWith(RolloutRecord.KEY_PREFIX);
        boolean lost = isRecord && loseAnswers > 0;
        if (lost) {
            loseAnswers--;
            if (!lostTakeEffect) {
                return answer(swap, new RolloutEvent.SwapAnswer.Unknown("lost"));
            }
        }
        Value present = values.get(swap.key());
        long presentRevision = present == null ? 0 : present.revision;
        boolean leaseGone = swap.leaseId() != 0 && !leaseEnds.containsKey(swap.leaseId());
        if (presentRevision != swap.expectedRevision() || leaseGone) {
            Optional<Payload> payload = Optional.ofNullable(present).map(Value::payload);
            return answer(swap, new RolloutEvent.SwapAnswer.Conflict(payload, presentRevision));
        }
        values.put(swap.key(), new Value(swap.value(), ++revision, swap.leaseId()));
        if (isRecord) {
            countOutcome(swap);
        }
        return answer(
                swap,
                lost
                        ? new RolloutEvent.SwapAnswer.Unknown("lost")
                        : new RolloutEvent.SwapAnswer.Swapped(revision));
    }

    private void countOutcome(RolloutAction.SwapRecord swap) {
        try {
            if (RolloutRecord.parse(swap.value()).state().isOutcome()) {
                outcomes.merge(swap.key(), 1, Integer::sum);
            }
        } catch (BadRecordException e) {
            throw new AssertionError(e);
        }
    }

    private static RolloutEvent answer(
            RolloutAction.SwapRecord swap, RolloutEvent.SwapAnswer answer) {
        return new RolloutEvent.SwapResult(swap.ticket(), answer);
    }

    Optional<RolloutEvent> read(HostId host, RolloutId rollout) {
        if (isUnavailable(host)) {
            return Optional.empty();
        }
        return Optional.of(read(rollout));
    }

    private RolloutEvent.RecordRead read(RolloutId rollout) {
        Value value = values.get(RolloutRecord.key(rollout));
        return value == null
                ? new RolloutEvent.RecordRead(rollout, Optional.empty(), 0)
                : new RolloutEvent.RecordRead(rollout, Optional.of(value.payload), value.revision);
    }

    Optional<RolloutEvent> list(HostId host) {
        if (isUnavailable(host)) {
            return Optional.empty();
        }
        List<RolloutEvent.RecordRead> records = new ArrayList<>();
        for (String key : values.keySet()) {
            if (key.startsWith(RolloutRecord.KEY_PREFIX)) {
                records.add(read(new RolloutId(key.substring(RolloutRecord.KEY_PREFIX.length()))));
            }
        }
        return Optional.of(new RolloutEvent.RecordsListed(records));
    }

    RolloutEvent grant(HostId host, RolloutAction.GrantLease grant) {
        if (isUnavailable(host)) {
            return new RolloutEvent.LeaseResult(
                    grant.ticket(), new RolloutEvent.LeaseAnswer.Unavailable("unavailable"));
        }
        leaseEnds.put(++lastLease, nowNanos + grant.ttlMillis() * RolloutCore.NANOS_PER_MILLI);
        leaseMillis.put(lastLease, grant.ttlMillis());
        return new RolloutEvent.LeaseResult(
                grant.ticket(), new RolloutEvent.LeaseAnswer.Held(lastLease, grant.ttlMillis()));
    }

    RolloutEvent keep(HostId host, RolloutAction.KeepLease keep) {
        if (isUnavailable(host)) {
            return new RolloutEvent.LeaseResult(
                    keep.ticket(), new RolloutEvent.LeaseAnswer.Unavailable("unavailable"));
        }
        if (!leaseEnds.containsKey(keep.leaseId())) {
            return new RolloutEvent.LeaseResult(
                    keep.ticket(), new RolloutEvent.LeaseAnswer.Lost("expired"));
        }
        long millis = leaseMillis.get(keep.leaseId());
        leaseEnds.put(keep.leaseId(), nowNanos + millis * RolloutCore.NANOS_PER_MILLI);
        return new RolloutEvent.LeaseResult(
                keep.ticket(), new RolloutEvent.LeaseAnswer.Held(keep.leaseId(), millis));
    }
}
