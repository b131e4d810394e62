package org.orioleshed.settings;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Payload;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageCodec;
import org.orioleshed.wire.SettingsWire.Settings;

/** Encodes and decodes settings messages as protobuf. */
public final class SettingsCodec implements MessageCodec<SettingsMessage> {
    @Override
    public byte[] encode(SettingsMessage message) {
        Settings.Builder wire = Settings.newBuilder();
        switch (message) {
            case SettingsMessage.Advert advert ->
                    wire.getAdvertBuilder()
                            .setNumber(advert.number())
                            .setChangeId(advert.changeId())
                            .setWantReply(advert.wantReply());
            case SettingsMessage.Fetch fetch ->
                    wire.getFetchBuilder()
                            .setHaveNumber(fetch.haveNumber())
                            .setHaveChangeId(fetch.haveChangeId())
                            .setOffset(fetch.offset());
            case SettingsMessage.Delta delta -> {
                Settings.Delta.Builder builder = wire.getDeltaBuilder();
                builder.setFromNumber(delta.fromNumber()).setDigest(delta.digest());
                delta.changes().forEach(change -> builder.addChanges(encode(change)));
            }
            case SettingsMessage.Chunk chunk ->
                    wire.getChunkBuilder()
                            .setNumber(chunk.number())
                            .setChangeId(chunk.changeId())
                            .setOffset(chunk.offset())
                            .setTotalBytes(chunk.totalBytes())
                            .setPiece(ByteString.copyFrom(chunk.piece().toBytes()));
            case SettingsMessage.StatusRequest request ->
                    wire.getStatusAskedBuilder().setTicket(request.ticket());
            case SettingsMessage.StatusReport report ->
                    wire.getStatusToldBuilder()
                            .setTicket(report.ticket())
                            .setNumber(report.status().number())
                            .setChangeId(report.status().changeId())
                            .setUnconfirmed(report.status().unconfirmed())
                            .setStoreAwayMillis(report.status().storeUnavailableMillis());
        }
        return wire.build().toByteArray();
    }

    private static Settings.Change encode(SettingsChange change) {
        Settings.Change.Builder builder =
                Settings.Change.newBuilder()
                        .setNumber(change.number())
                        .setId(change.id())
                        .setAuthor(change.author())
                        .setReason(change.reason())
                        .setAtMillis(change.atMillis());
        for (SettingsEdit edit : change.edits()) {
            Settings.Edit.Builder editBuilder = builder.addEditsBuilder().setPath(edit.path());
            edit.json().ifPresent(editBuilder::setJson);
        }
        return builder.build();
    }

    @Override
    public SettingsMessage decode(byte[] bytes) throws BadMessageException {
        try {
            return decode(Settings.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadMessageException("malformed settings message", e);
        }
    }

    private static SettingsMessage decode(Settings wire) throws BadMessageException {
        return switch (wire.getMessageCase()) {
            case ADVERT ->
                    new SettingsMessage.Advert(
                            requireNonNegative(wire.getAdvert().getNumber()),
                            wire.getAdvert().getChangeId(),
                            wire.getAdvert().getWantReply());
            case FETCH ->
                    new SettingsMessage.Fetch(
                            requireNonNegative(wire.getFetch().getHaveNumber()),
                            wire.getFetch().getHaveChangeId(),
                            (int) requireNonNegative(wire.getFetch().getOffset()));
            case DELTA -> decode(wire.getDelta());
            case CHUNK -> decode(wire.getChunk());
            case STATUS_ASKED ->
                    new SettingsMessage.StatusRequest(wire.getStatusAsked().getTicket());
            case STATUS_TOLD -> decode(wire.getStatusTold());
            case MESSAGE_NOT_SET ->
                    throw new BadMessageException("settings message without content");
        };
    }

    private static SettingsMessage decode(Settings.StatusTold report) throws BadMessageException {
        return new SettingsMessage.StatusReport(
                report.getTicket(),
                new SettingsStatus(
                        requireNonNegative(report.getNumber()),
                        report.getChangeId(),
                        report.getUnconfirmed(),
                        requireNonNegative(report.getStoreAwayMillis())));
    }

    private static SettingsMessage decode(Settings.Chunk chunk) throws BadMessageException {
        return new SettingsMessage.Chunk(
                requireNonNegative(chunk.getNumber()),
                chunk.getChangeId(),
                (int) requireNonNegative(chunk.getOffset()),
                (int) requireNonNegative(chunk.getTotalBytes()),
                Payload.of(chunk.getPiece().toByteArray()));
    }

    private static SettingsMessage decode(Settings.Delta delta) throws BadMessageException {
        List<SettingsChange> changes = new ArrayList<>();
        for (Settings.Change change : delta.getChangesList()) {
            List<SettingsEdit> edits = new ArrayList<>();
            for (Settings.Edit edit : change.getEditsList()) {
                Optional<String> json =
                        edit.hasJson() ? Optional.of(edit.getJson()) : Optional.empty();
                edits.add(new SettingsEdit(edit.getPath(), json));
            }
            changes.add(
                    new SettingsChange(
                            requireNonNegative(change.getNumber()),
                            change.getId(),
                            change.getAuthor(),
                            change.getReason(),
                            change.getAtMillis(),
                            edits));
        }
        return new SettingsMessage.Delta(
                requireNonNegative(delta.getFromNumber()), delta.getDigest(), changes);
    }

    private static long requireNonNegative(long value) throws BadMessageException {
        if (value < 0) {
            throw new BadMessageException(
                    "settings message: a number must not be negative, found " + value);
        }
        return value;
    }
}
