package org.orioleshed.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.catalog.MoveOrder;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.orioleshed.wire.DispatchWire.Dispatch;

/** Writes what hosts tell a home that begins as protobuf. */
final class RecallCodec {
    private RecallCodec() {}

    static byte[] write(DispatchEvent.CrashesRecalled recalled) {
        Dispatch.Builder wire =
                Dispatch.newBuilder()
                        .setKind(Dispatch.Kind.CRASHES_RECALLED)
                        .setOrigin(recalled.host().value());
        recalled.crashes()
                .forEach(
                        (content, count) ->
                                wire.addCrashes(
                                        Dispatch.Crashes.newBuilder()
                                                .setContent(content)
                                                .setCount(count)));
        return wire.build().toByteArray();
    }

    static DispatchEvent.CrashesRecalled readCrashes(Dispatch wire) {
        Map<Long, Integer> crashes = new HashMap<>();
        for (Dispatch.Crashes one : wire.getCrashesList()) {
            crashes.put(one.getContent(), one.getCount());
        }
        return new DispatchEvent.CrashesRecalled(new HostId(wire.getOrigin()), crashes);
    }

    static byte[] write(DispatchEvent.MoveRecalled recalled) {
        MoveOrder order = recalled.order();
        Dispatch.Move.Builder move =
                Dispatch.Move.newBuilder()
                        .setService(order.service().value())
                        .setTarget(order.target().value())
                        .setDurationMillis(order.durationMillis())
                        .setRevision(order.revision());
        recalled.tallies().forEach(tally -> move.addTallies(write(tally)));
        return Dispatch.newBuilder()
                .setKind(Dispatch.Kind.MOVE_RECALLED)
                .setOrigin(recalled.host().value())
                .setMove(move)
                .build()
                .toByteArray();
    }

    private static Dispatch.Tally write(MoveTally tally) {
        return Dispatch.Tally.newBuilder()
                .setServer(tally.server().value())
                .setRoute(tally.route().value())
                .setIsNew(tally.isNew())
                .setSent(tally.sent())
                .setAnswers(tally.answers())
                .setFaults(tally.faults())
                .setSamples(tally.samples())
                .setLogSum(tally.logSum())
                .setLogSquares(tally.logSquares())
                .build();
    }

    static DispatchEvent.MoveRecalled readMove(Dispatch wire) {
        Dispatch.Move move = wire.getMove();
        MoveOrder order =
                new MoveOrder(
                        new ServiceId(move.getService()),
                        new VersionId(move.getTarget()),
                        move.getDurationMillis(),
                        move.getRevision());
        return new DispatchEvent.MoveRecalled(
                new HostId(wire.getOrigin()),
                order,
                move.getTalliesList().stream().map(RecallCodec::read).toList());
    }

    private static MoveTally read(Dispatch.Tally tally) {
        return new MoveTally(
                new ServerId(tally.getServer()),
                new RouteId(tally.getRoute()),
                tally.getIsNew(),
                tally.getSent(),
                tally.getAnswers(),
                tally.getFaults(),
                tally.getSamples(),
                tally.getLogSum(),
                tally.getLogSquares());
    }
}
