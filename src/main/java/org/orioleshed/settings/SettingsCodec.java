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

/** Writes settings messages as protobuf. */
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
                Settings.Delta.Builder built = wire.getDeltaBuilder();
                built.setFromNumber(delta.fromNumber()).setDigest(delta.digest());
                delta.changes().forEach(change -> built.addChanges(write(change)));
            }
            case SettingsMessage.Chunk chunk ->
                    wire.getChunkBuilder()
                            .setNumber(chunk.number())
                            .setChangeId(chunk.changeId())
                            .setOffset(chunk.offset())
                            .setTotalBytes(chunk.totalBytes())
                            .setPiece(ByteString.copyFrom(chunk.piece().toBytes()));
            case SettingsMessage.StatusAsked asked ->
                    wire.getStatusAskedBuilder().setTicket(asked.ticket());
            case SettingsMessage.StatusTold told ->
                    wire.getStatusToldBuilder()
                            .setTicket(told.ticket())
                            .setNumber(told.status().number())
                            .setChangeId(told.status().changeId())
                            .setUnconfirmed(told.status().unconfirmed())
                            .setStoreAwayMillis(told.status().storeAwayMillis());
        }
        return wire.build().toByteArray();
    }

    private static Settings.Change write(SettingsChange change) {
        Settings.Change.Builder built =
                Settings.Change.newBuilder()
                        .setNumber(change.number())
                        .setId(change.id())
                        .setAuthor(change.author())
                        .setReason(change.reason())
                        .setAtMillis(change.atMillis());
        for (SettingsEdit edit : change.edits()) {
            Settings.Edit.Builder written = built.addEditsBuilder().setPath(edit.path());
            edit.json().ifPresent(written::setJson);
        }
        return built.build();
    }

    @Override
    public SettingsMessage decode(byte[] bytes) throws BadMessageException {
        try {
            return read(Settings.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadMessageException("not a settings message", e);
        }
    }

    private static SettingsMessage read(Settings wire) throws BadMessageException {
        return switch (wire.getMessageCase()) {
            case ADVERT ->
                    new SettingsMessage.Advert(
                            notNegative(wire.getAdvert().getNumber()),
                            wire.getAdvert().getChangeId(),
                            wire.getAdvert().getWantReply());
            case FETCH ->
                    new SettingsMessage.Fetch(
                            notNegative(wire.getFetch().getHaveNumber()),
                            wire.getFetch().getHaveChangeId(),
                            (int) notNegative(wire.getFetch().getOffset()));
            case DELTA -> read(wire.getDelta());
            case CHUNK -> read(wire.getChunk());
            case STATUS_ASKED -> new SettingsMessage.StatusAsked(wire.getStatusAsked().getTicket());
            case STATUS_TOLD -> read(wire.getStatusTold());
            case MESSAGE_NOT_SET -> throw new BadMessageException("an empty settings message");
        };
    }

    private static SettingsMessage read(Settings.StatusTold told) throws BadMessageException {
        return new SettingsMessage.StatusTold(
                told.getTicket(),
                new SettingsStatus(
                        notNegative(told.getNumber()),
                        told.getChangeId(),
                        told.getUnconfirmed(),
                        notNegative(told.getStoreAwayMillis())));
    }

    private static SettingsMessage read(Settings.Chunk chunk) throws BadMessageException {
        return new SettingsMessage.Chunk(
                notNegative(chunk.getNumber()),
                chunk.getChangeId(),
                (int) notNegative(chunk.getOffset()),
                (int) notNegative(chunk.getTotalBytes()),
                Payload.of(chunk.getPiece().toByteArray()));
    }

    private static SettingsMessage read(Settings.Delta delta) throws BadMessageException {
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
                            notNegative(change.getNumber()),
                            change.getId(),
                            change.getAuthor(),
                            change.getReason(),
                            change.getAtMillis(),
                            edits));
        }
        return new SettingsMessage.Delta(
                notNegative(delta.getFromNumber()), delta.getDigest(), changes);
    }

    private static long notNegative(long value) throws BadMessageException {
        if (value < 0) {
            throw new BadMessageException("a number is out of range");
        }
        return value;
    }
}
