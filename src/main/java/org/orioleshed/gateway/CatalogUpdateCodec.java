package org.orioleshed.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.orioleshed.catalog.EntryChange;
import org.orioleshed.model.Payload;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageCodec;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;
import org.orioleshed.wire.DispatchWire;

/** Encodes catalog updates as protobuf, and compresses large ones. */
final class CatalogUpdateCodec implements MessageCodec<CatalogUpdate> {
    /** Shorter messages fit into a few packets and gain nothing from compression. */
    private static final int MIN_COMPRESSED_BYTES = 4 << 10;

    /** A configuration of 2,000 routes has about half a megabyte. */
    private static final int MAX_DECOMPRESSED_BYTES = 32 << 20;

    @Override
    public byte[] encode(CatalogUpdate update) {
        DispatchWire.CatalogUpdate.Builder wire = DispatchWire.CatalogUpdate.newBuilder();
        switch (update) {
            case CatalogUpdate.Revisions revisions ->
                    writeRevisions(wire, revisions.operators(), revisions.servers());
            case CatalogUpdate.WatchReport report ->
                    writeRevisions(
                                    wire,
                                    report.revisions().operators(),
                                    report.revisions().servers())
                            .setWatching(true)
                            .setConfirmedAgeMillis(report.ageMillis());
            case CatalogUpdate.FetchRequest fetch ->
                    writeRevisions(wire, fetch.operators(), fetch.servers()).setWanted(true);
            case CatalogUpdate.Content content -> {
                content.operators().ifPresent(change -> wire.setOperators(write(change)));
                content.servers().ifPresent(change -> wire.setServers(write(change)));
            }
        }
        byte[] encoded = wire.build().toByteArray();
        return encoded.length < MIN_COMPRESSED_BYTES ? encoded : encodeCompressed(encoded);
    }

    private static DispatchWire.CatalogUpdate.Builder writeRevisions(
            DispatchWire.CatalogUpdate.Builder wire,
            StoreRevision operators,
            StoreRevision servers) {
        return wire.setOperatorsRevision(operators.number())
                .setOperatorsEra(operators.era())
                .setServersRevision(servers.number())
                .setServersEra(servers.era());
    }

    private static byte[] encodeCompressed(byte[] encoded) {
        return DispatchWire.CatalogUpdate.newBuilder()
                .setCompressed(ByteString.copyFrom(Compression.compress(encoded)))
                .build()
                .toByteArray();
    }

    private static DispatchWire.CatalogUpdate.Change write(EntryChange change) {
        DispatchWire.CatalogUpdate.Change.Builder wire =
                DispatchWire.CatalogUpdate.Change.newBuilder()
                        .setSince(change.since().number())
                        .setSinceEra(change.since().era())
                        .setRevision(change.revision().number())
                        .setRevisionEra(change.revision().era())
                        .setChanged(change.changed().number())
                        .setChangedEra(change.changed().era())
                        .setSettled(change.settled());
        change.entries().forEach(entry -> wire.addItems(write(entry)));
        change.removed().forEach(removal -> wire.addRemoved(write(removal)));
        return wire.build();
    }

    private static DispatchWire.CatalogUpdate.Item write(Store.Entry entry) {
        return DispatchWire.CatalogUpdate.Item.newBuilder()
                .setKey(entry.key())
                .setValue(ByteString.copyFrom(entry.value().toBytes()))
                .setRevision(entry.revision().number())
                .setEra(entry.revision().era())
                .build();
    }

    private static DispatchWire.CatalogUpdate.Item write(EntryChange.Removal removal) {
        return DispatchWire.CatalogUpdate.Item.newBuilder()
                .setKey(removal.key())
                .setRevision(removal.revision().number())
                .setEra(removal.revision().era())
                .build();
    }

    @Override
    public CatalogUpdate decode(byte[] bytes) throws BadMessageException {
        try {
            DispatchWire.CatalogUpdate wire = DispatchWire.CatalogUpdate.parseFrom(bytes);
            if (wire.getCompressed().isEmpty()) {
                return read(wire);
            }
            byte[] encoded =
                    Compression.decompress(
                            wire.getCompressed().toByteArray(), MAX_DECOMPRESSED_BYTES);
            return read(DispatchWire.CatalogUpdate.parseFrom(encoded));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadMessageException("malformed catalog update", e);
        }
    }

    private static CatalogUpdate read(DispatchWire.CatalogUpdate wire) {
        if (wire.hasOperators() || wire.hasServers()) {
            return new CatalogUpdate.Content(
                    wire.hasOperators() ? Optional.of(read(wire.getOperators())) : Optional.empty(),
                    wire.hasServers() ? Optional.of(read(wire.getServers())) : Optional.empty());
        }
        StoreRevision operators =
                new StoreRevision(wire.getOperatorsEra(), wire.getOperatorsRevision());
        StoreRevision servers = new StoreRevision(wire.getServersEra(), wire.getServersRevision());
        if (wire.getWatching()) {
            return new CatalogUpdate.WatchReport(
                    new CatalogUpdate.Revisions(operators, servers), wire.getConfirmedAgeMillis());
        }
        return wire.getWanted()
                ? new CatalogUpdate.FetchRequest(operators, servers)
                : new CatalogUpdate.Revisions(operators, servers);
    }

    private static EntryChange read(DispatchWire.CatalogUpdate.Change wire) {
        List<Store.Entry> entries =
                wire.getItemsList().stream()
                        .map(
                                item ->
                                        new Store.Entry(
                                                item.getKey(),
                                                Payload.of(item.getValue().toByteArray()),
                                                revision(item)))
                        .toList();
        List<EntryChange.Removal> removed =
                wire.getRemovedList().stream()
                        .map(item -> new EntryChange.Removal(item.getKey(), revision(item)))
                        .toList();
        return new EntryChange(
                new StoreRevision(wire.getSinceEra(), wire.getSince()),
                new StoreRevision(wire.getRevisionEra(), wire.getRevision()),
                new StoreRevision(wire.getChangedEra(), wire.getChanged()),
                wire.getSettled(),
                entries,
                removed);
    }

    private static StoreRevision revision(DispatchWire.CatalogUpdate.Item item) {
        return new StoreRevision(item.getEra(), item.getRevision());
    }
}
