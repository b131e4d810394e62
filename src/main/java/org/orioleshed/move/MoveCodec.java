package org.orioleshed.move;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.MoveId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.VersionId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageCodec;
import org.orioleshed.wire.MoveWire;

/** Codec of {@link MoveMessage}. */
public final class MoveCodec implements MessageCodec<MoveMessage> {
    /** The most rows in one message. */
    static final int MAX_ROWS = 10_000;

    @Override
    public byte[] encode(MoveMessage message) {
        MoveWire.Message.Builder wire = MoveWire.Message.newBuilder();
        switch (message) {
            case MoveMessage.Evidence evidence -> wire.setEvidence(wire(evidence));
            case MoveMessage.RecordSeen seen ->
                    wire.setRecordSeen(
                            MoveWire.RecordSeen.newBuilder()
                                    .setMove(seen.move().value())
                                    .setRecord(ByteString.copyFrom(seen.record().toBytes()))
                                    .setRevision(seen.revision()));
        }
        return wire.build().toByteArray();
    }

    @Override
    public MoveMessage decode(byte[] bytes) throws BadMessageException {
        try {
            MoveWire.Message wire = MoveWire.Message.parseFrom(bytes);
            return switch (wire.getKindCase()) {
                case EVIDENCE -> evidence(wire.getEvidence());
                case RECORD_SEEN ->
                        new MoveMessage.RecordSeen(
                                new MoveId(wire.getRecordSeen().getMove()),
                                Payload.of(wire.getRecordSeen().getRecord().toByteArray()),
                                counter(wire.getRecordSeen().getRevision()));
                case KIND_NOT_SET -> throw new BadMessageException("empty move message");
            };
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadMessageException("not a move message: " + e.getMessage(), e);
        }
    }

    private static MoveWire.Evidence wire(MoveMessage.Evidence evidence) {
        MoveWire.Evidence.Builder wire =
                MoveWire.Evidence.newBuilder()
                        .setMove(evidence.move().value())
                        .setDomain(evidence.domain().value())
                        .setIncarnation(evidence.incarnation())
                        .setFuseBlown(evidence.fuseBlown())
                        .setMoverFence(evidence.moverFence());
        evidence.tallies().forEach((key, tally) -> wire.addRows(wire(key, tally)));
        return wire.build();
    }

    private static MoveWire.Row wire(MoveMessage.Key key, Tally tally) {
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

    private static MoveMessage.Evidence evidence(MoveWire.Evidence wire)
            throws BadMessageException {
        if (wire.getRowsCount() > MAX_ROWS) {
            throw new BadMessageException("too many rows: " + wire.getRowsCount());
        }
        Map<MoveMessage.Key, Tally> tallies = new HashMap<>();
        for (MoveWire.Row row : wire.getRowsList()) {
            MoveMessage.Key key =
                    new MoveMessage.Key(
                            new RouteId(row.getRoute()),
                            new VersionId(row.getVersion()),
                            row.getHighLoad() ? LoadBand.HIGH : LoadBand.LOW);
            tallies.merge(key, tally(row), Tally::max);
        }
        return new MoveMessage.Evidence(
                new MoveId(wire.getMove()),
                new FailureDomain(wire.getDomain()),
                counter(wire.getIncarnation()),
                wire.getFuseBlown(),
                counter(wire.getMoverFence()),
                tallies);
    }

    private static Tally tally(MoveWire.Row row) {
        if (row.getFailed() > row.getRuns() || row.getSlow() > row.getTimed()) {
            throw new IllegalArgumentException("a part larger than its whole");
        }
        return new Tally(
                row.getRuns(), row.getFailed(), row.getExcused(), row.getTimed(), row.getSlow());
    }

    private static long counter(long value) {
        if (value < 0) {
            throw new IllegalArgumentException("negative counter");
        }
        return value;
    }
}
