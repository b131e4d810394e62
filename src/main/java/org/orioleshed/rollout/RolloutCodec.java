package org.orioleshed.rollout;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.VersionId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageCodec;
import org.orioleshed.wire.MoveWire;

/** Codec of {@link RolloutMessage}. */
public final class RolloutCodec implements MessageCodec<RolloutMessage> {
    /** The most rows in one message. */
    static final int MAX_ROWS = 10_000;

    @Override
    public byte[] encode(RolloutMessage message) {
        MoveWire.Message.Builder wire = MoveWire.Message.newBuilder();
        switch (message) {
            case RolloutMessage.Evidence evidence -> wire.setEvidence(wire(evidence));
            case RolloutMessage.RecordSeen seen ->
                    wire.setRecordSeen(
                            MoveWire.RecordSeen.newBuilder()
                                    .setMove(seen.rollout().value())
                                    .setRecord(ByteString.copyFrom(seen.record().toBytes()))
                                    .setRevision(seen.revision()));
        }
        return wire.build().toByteArray();
    }

    @Override
    public RolloutMessage decode(byte[] bytes) throws BadMessageException {
        try {
            MoveWire.Message wire = MoveWire.Message.parseFrom(bytes);
            return switch (wire.getKindCase()) {
                case EVIDENCE -> evidence(wire.getEvidence());
                case RECORD_SEEN ->
                        new RolloutMessage.RecordSeen(
                                new RolloutId(wire.getRecordSeen().getMove()),
                                Payload.of(wire.getRecordSeen().getRecord().toByteArray()),
                                counter(wire.getRecordSeen().getRevision()));
                case KIND_NOT_SET ->
                        throw new BadMessageException("rollout message without a kind");
            };
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadMessageException("invalid rollout message: " + e.getMessage(), e);
        }
    }

    private static MoveWire.Evidence wire(RolloutMessage.Evidence evidence) {
        MoveWire.Evidence.Builder wire =
                MoveWire.Evidence.newBuilder()
                        .setMove(evidence.rollout().value())
                        .setDomain(evidence.domain().value())
                        .setIncarnation(evidence.incarnation())
                        .setFuseBlown(evidence.breakerTripped())
                        .setMoverFence(evidence.coordinatorFence());
        evidence.tallies().forEach((key, tally) -> wire.addRows(wire(key, tally)));
        return wire.build();
    }

    private static MoveWire.Row wire(RolloutMessage.Key key, Tally tally) {
        return MoveWire.Row.newBuilder()
                .setRoute(key.route().value())
                .setVersion(key.version().value())
                .setHighLoad(key.band() == LoadBand.HIGH)
                .setRuns(tally.runs())
                .setFailed(tally.failed())
                .setExcused(tally.excused())
                .setTimed(tally.timed())
                .setSlow(tally.slow())
                .build();
    }

    private static RolloutMessage.Evidence evidence(MoveWire.Evidence wire)
            throws BadMessageException {
        if (wire.getRowsCount() > MAX_ROWS) {
            throw new BadMessageException(
                    "rollout message has "
                            + wire.getRowsCount()
                            + " rows, at most "
                            + MAX_ROWS
                            + " are allowed");
        }
        Map<RolloutMessage.Key, Tally> tallies = new HashMap<>();
        for (MoveWire.Row row : wire.getRowsList()) {
            RolloutMessage.Key key =
                    new RolloutMessage.Key(
                            new RouteId(row.getRoute()),
                            new VersionId(row.getVersion()),
                            row.getHighLoad() ? LoadBand.HIGH : LoadBand.LOW);
            tallies.merge(key, tally(row), Tally::max);
        }
        return new RolloutMessage.Evidence(
                new RolloutId(wire.getMove()),
                new FailureDomain(wire.getDomain()),
                counter(wire.getIncarnation()),
                wire.getFuseBlown(),
                counter(wire.getMoverFence()),
                tallies);
    }

    private static Tally tally(MoveWire.Row row) {
        if (row.getFailed() > row.getRuns() || row.getSlow() > row.getTimed()) {
            throw new IllegalArgumentException(
                    "failed must not exceed runs, and slow must not exceed timed");
        }
        return new Tally(
                row.getRuns(), row.getFailed(), row.getExcused(), row.getTimed(), row.getSlow());
    }

    private static long counter(long value) {
        if (value < 0) {
            throw new IllegalArgumentException("counter must not be negative: " + value);
        }
        return value;
    }
}
