package org.orioleshed.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Payload;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageCodec;
import org.orioleshed.store.Store;
import org.orioleshed.wire.DispatchWire;

/** Writes update as protobuf. */
final class CatalogUpdateCodec implements MessageCodec<CatalogUpdate> {
    @Override
    public byte[] encode(CatalogUpdate update) {
        DispatchWire.CatalogUpdate.Builder wire =
                DispatchWire.CatalogUpdate.newBuilder()
                        .setConfigRevision(update.configRevision())
                        .setServersRevision(update.serversRevision())
                        .setWanted(update.wanted())
                        .setHasServers(update.entries().isPresent());
        update.config().ifPresent(config -> wire.setConfig(ByteString.copyFrom(config.toBytes())));
        update.entries()
                .ifPresent(entries -> entries.forEach(entry -> wire.addServers(write(entry))));
        return wire.build().toByteArray();
    }

    private static DispatchWire.CatalogUpdate.Item write(Store.Entry entry) {
        return DispatchWire.CatalogUpdate.Item.newBuilder()
                .setKey(entry.key())
                .setValue(ByteString.copyFrom(entry.value().toBytes()))
                .setRevision(entry.revision())
                .build();
    }

    @Override
    public CatalogUpdate decode(byte[] bytes) throws BadMessageException {
        try {
            DispatchWire.CatalogUpdate wire = DispatchWire.CatalogUpdate.parseFrom(bytes);
            Payload config = Payload.of(wire.getConfig().toByteArray());
            return new CatalogUpdate(
                    wire.getConfigRevision(),
                    wire.getServersRevision(),
                    wire.getWanted(),
                    config.size() == 0 ? Optional.empty() : Optional.of(config),
                    wire.getHasServers()
                            ? Optional.of(read(wire.getServersList()))
                            : Optional.empty());
        } catch (InvalidProtocolBufferException e) {
            throw new BadMessageException("no update", e);
        }
    }

    private static List<Store.Entry> read(List<DispatchWire.CatalogUpdate.Item> items) {
        return items.stream()
                .map(
                        item ->
                                new Store.Entry(
                                        item.getKey(),
                                        Payload.of(item.getValue().toByteArray()),
                                        item.getRevision()))
                .toList();
    }
}
