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

/** Writes news as protobuf. */
final class NewsCodec implements MessageCodec<News> {
    @Override
    public byte[] encode(News news) {
        DispatchWire.News.Builder wire =
                DispatchWire.News.newBuilder()
                        .setConfigRevision(news.configRevision())
                        .setServersRevision(news.serversRevision())
                        .setWanted(news.wanted())
                        .setHasServers(news.entries().isPresent());
        news.config().ifPresent(config -> wire.setConfig(ByteString.copyFrom(config.toBytes())));
        news.entries()
                .ifPresent(entries -> entries.forEach(entry -> wire.addServers(write(entry))));
        return wire.build().toByteArray();
    }

    private static DispatchWire.News.Item write(Store.Entry entry) {
        return DispatchWire.News.Item.newBuilder()
                .setKey(entry.key())
                .setValue(ByteString.copyFrom(entry.value().toBytes()))
                .setRevision(entry.revision())
                .build();
    }

    @Override
    public News decode(byte[] bytes) throws BadMessageException {
        try {
            DispatchWire.News wire = DispatchWire.News.parseFrom(bytes);
            Payload config = Payload.of(wire.getConfig().toByteArray());
            return new News(
                    wire.getConfigRevision(),
                    wire.getServersRevision(),
                    wire.getWanted(),
                    config.size() == 0 ? Optional.empty() : Optional.of(config),
                    wire.getHasServers()
                            ? Optional.of(read(wire.getServersList()))
                            : Optional.empty());
        } catch (InvalidProtocolBufferException e) {
            throw new BadMessageException("no news", e);
        }
    }

    private static List<Store.Entry> read(List<DispatchWire.News.Item> items) {
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
