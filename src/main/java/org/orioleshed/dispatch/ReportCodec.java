package org.orioleshed.dispatch;

import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.orioleshed.quarantine.CrashReport;
import org.orioleshed.store.StoreRevision;
import org.orioleshed.wire.DispatchWire.Dispatch;

/** Encodes the reports of hosts to a new primary as protobuf. */
final class ReportCodec {
    private ReportCodec() {}

    static byte[] write(DispatchEvent.CrashesReported reported) {
        Dispatch.Builder wire =
                Dispatch.newBuilder()
                        .setKind(Dispatch.Kind.CRASHES_RECALLED)
                        .setOrigin(reported.host().value());
        reported.report().crashes().forEach(crash -> wire.addCrashes(QuarantineCodec.write(crash)));
        reported.report().held().forEach(held -> wire.addHeld(QuarantineCodec.write(held)));
        return wire.build().toByteArray();
    }

    static DispatchEvent.CrashesReported readCrashes(Dispatch wire) {
        CrashReport report =
                new CrashReport(
                        wire.getCrashesList().stream().map(QuarantineCodec::read).toList(),
                        wire.getHeldList().stream().map(QuarantineCodec::read).toList());
        return new DispatchEvent.CrashesReported(new HostId(wire.getOrigin()), report);
    }

    static byte[] write(DispatchEvent.RolloutReported reported) {
        RolloutOrder order = reported.order();
        Dispatch.Move.Builder move =
                Dispatch.Move.newBuilder()
                        .setService(order.service().value())
                        .setTarget(order.target().value())
                        .setDurationMillis(order.durationMillis())
                        .setRevision(order.revision().number())
                        .setEra(order.revision().era());
        reported.tallies().forEach(tally -> move.addTallies(write(tally)));
        return Dispatch.newBuilder()
                .setKind(Dispatch.Kind.MOVE_RECALLED)
                .setOrigin(reported.host().value())
                .setMove(move)
                .build()
                .toByteArray();
    }

    private static Dispatch.Tally write(RolloutTally tally) {
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

    static DispatchEvent.RolloutReported readRollout(Dispatch wire) {
        Dispatch.Move move = wire.getMove();
        RolloutOrder order =
                new RolloutOrder(
                        new ServiceId(move.getService()),
                        new VersionId(move.getTarget()),
                        move.getDurationMillis(),
                        new StoreRevision(move.getEra(), move.getRevision()));
        return new DispatchEvent.RolloutReported(
                new HostId(wire.getOrigin()),
                order,
                move.getTalliesList().stream().map(ReportCodec::read).toList());
    }

    private static RolloutTally read(Dispatch.Tally tally) {
        return new RolloutTally(
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
