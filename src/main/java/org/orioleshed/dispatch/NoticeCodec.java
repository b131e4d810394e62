package org.orioleshed.dispatch;

import org.orioleshed.model.ServerId;
import org.orioleshed.wire.DispatchWire.Dispatch;

/** Encodes what servers stated to hosts as protobuf. */
final class NoticeCodec {
    private NoticeCodec() {}

    /** Encodes a notice; the receiver takes it for one from an answer. */
    static byte[] write(DispatchEvent.ServerCold cold) {
        return Dispatch.newBuilder()
                .setKind(Dispatch.Kind.SERVER_COLD)
                .setServer(cold.server().value())
                .setMillis(cold.startMillis())
                .setWarmupLeftMillis(cold.leftMillis())
                .setStatedAgeMillis(cold.ageMillis())
                .build()
                .toByteArray();
    }

    static byte[] write(DispatchEvent.ServerBrittle brittle) {
        return Dispatch.newBuilder()
                .setKind(Dispatch.Kind.SERVER_BRITTLE)
                .setServer(brittle.server().value())
                .setMillis(brittle.startMillis())
                .setBrittlePerSecond(brittle.rejections().perSecond())
                .build()
                .toByteArray();
    }

    static DispatchEvent.ServerBrittle readBrittle(Dispatch wire) {
        return new DispatchEvent.ServerBrittle(
                new ServerId(wire.getServer()),
                wire.getMillis(),
                new StatedLimit.Rate(wire.getBrittlePerSecond()));
    }

    static DispatchEvent.ServerCold readCold(Dispatch wire) {
        return new DispatchEvent.ServerCold(
                new ServerId(wire.getServer()),
                wire.getMillis(),
                wire.getWarmupLeftMillis(),
                wire.getStatedAgeMillis(),
                DispatchEvent.ServerCold.Source.ANSWER);
    }
}
