package org.orioleshed.dispatch;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.PartId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageCodec;
import org.orioleshed.quarantine.RequestContent;
import org.orioleshed.wire.DispatchWire.Dispatch;

/**
 * Encodes dispatch messages as protobuf. The origin of a run is the host that accepted the request.
 */
public final class DispatchCodec implements MessageCodec<DispatchMessage> {
    @Override
    public byte[] encode(DispatchMessage message) {
        return switch (message) {
            case DispatchMessage.ToPrimary to -> write(to.event());
            case DispatchMessage.FromPrimary from -> write(from.decision());
            case DispatchMessage.Quarantine quarantine -> write(quarantine.announced());
            case DispatchMessage.Follow follow -> write(Dispatch.Kind.FOLLOWS);
            case DispatchMessage.PoolsUnreachable unreachable ->
                    Dispatch.newBuilder()
                            .setKind(Dispatch.Kind.POOLS_UNREACHABLE)
                            .addAllUnreachablePools(
                                    unreachable.pools().stream().map(ServiceId::value).toList())
                            .build()
                            .toByteArray();
            case DispatchMessage.PrimaryStarted started -> write(Dispatch.Kind.HOME_BEGINS);
        };
    }

    private static byte[] write(Dispatch.Kind kind) {
        return Dispatch.newBuilder().setKind(kind).build().toByteArray();
    }

    private static byte[] write(DispatchEvent event) {
        return switch (event) {
            case DispatchEvent.PlacementRequested requested ->
                    start(Dispatch.Kind.ASKED, requested.run())
                            .setAsk(write(requested.request()))
                            .build()
                            .toByteArray();
            case DispatchEvent.Placed placed ->
                    start(Dispatch.Kind.PLACED, placed.run())
                            .setAsk(write(placed.request()))
                            .setServer(placed.server().value())
                            .build()
                            .toByteArray();
            case DispatchEvent.Withdrawn withdrawn ->
                    start(Dispatch.Kind.WITHDRAWN, withdrawn.run()).build().toByteArray();
            case DispatchEvent.First first ->
                    writeBrittle(
                                    first.brittle(),
                                    write(first.limit(), start(Dispatch.Kind.FIRST, first.run())))
                            .setMillis(first.firstMillis())
                            .build()
                            .toByteArray();
            case DispatchEvent.Ended ended ->
                    writeBrittle(
                                    ended.report().brittle(),
                                    write(
                                            ended.report().limit(),
                                            start(Dispatch.Kind.ENDED, ended.run())))
                            .setEnd(write(ended.report()))
                            .build()
                            .toByteArray();
            case DispatchEvent.QuotasHandedOver handed -> write(handed);
            case DispatchEvent.ServerLeaving leaving ->
                    Dispatch.newBuilder()
                            .setKind(Dispatch.Kind.SERVER_LEAVING)
                            .setServer(leaving.server().value())
                            .setMillis(leaving.startMillis())
                            .build()
                            .toByteArray();
            case DispatchEvent.ServerLimited limited ->
                    Dispatch.newBuilder()
                            .setKind(Dispatch.Kind.SERVER_LIMITED)
                            .setServer(limited.server().value())
                            .setMillis(limited.startMillis())
                            .setLimitPerSecond(limited.limit().perSecond())
                            .build()
                            .toByteArray();
            case DispatchEvent.ServerCold cold -> NoticeCodec.write(cold);
            case DispatchEvent.ServerBrittle brittle -> NoticeCodec.write(brittle);
            case DispatchEvent.Survived survived ->
                    start(Dispatch.Kind.SURVIVED, survived.run()).build().toByteArray();
            case DispatchEvent.ReleaseOrdered ordered ->
                    Dispatch.newBuilder()
                            .setKind(Dispatch.Kind.RELEASE)
                            .addReleased(QuarantineCodec.write(ordered.suspect()))
                            .build()
                            .toByteArray();
            case DispatchEvent.CrashesReported reported -> ReportCodec.write(reported);
            case DispatchEvent.RolloutReported reported -> ReportCodec.write(reported);
            case DispatchEvent.QuarantineAnnounced announced ->
                    throw new IllegalArgumentException(
                            "QuarantineAnnounced is not sent to a primary");
            case DispatchEvent.QuarantineDuty duty ->
                    throw new IllegalArgumentException("QuarantineDuty is not sent between hosts");
            case DispatchEvent.HostGone gone ->
                    throw new IllegalArgumentException("HostGone is not sent between hosts");
            case DispatchEvent.ServersChanged changed ->
                    throw new IllegalArgumentException("ServersChanged is not sent between hosts");
            case DispatchEvent.LimitsChanged changed ->
                    throw new IllegalArgumentException("LimitsChanged is not sent between hosts");
            case DispatchEvent.ShareChanged changed ->
                    throw new IllegalArgumentException("ShareChanged is not sent between hosts");
            case DispatchEvent.RolloutOrdered ordered ->
                    throw new IllegalArgumentException("RolloutOrdered is not sent between hosts");
            case DispatchEvent.RolloutSettled settled ->
                    throw new IllegalArgumentException("RolloutSettled is not sent between hosts");
            case DispatchEvent.Tick tick ->
                    throw new IllegalArgumentException("Tick is not sent between hosts");
        };
    }

    private static byte[] write(DispatchEvent.QuotasHandedOver handed) {
        Dispatch.Builder wire = Dispatch.newBuilder().setKind(Dispatch.Kind.QUOTAS_HANDED);
        handed.parts()
                .forEach(
                        (workspace, part) ->
                                wire.addQuotas(
                                        Dispatch.QuotaPart.newBuilder()
                                                .setWorkspace(workspace.value())
                                                .setPart(part)));
        return wire.build().toByteArray();
    }

    private static byte[] write(DispatchEvent.QuarantineAnnounced announced) {
        Dispatch.Builder wire = Dispatch.newBuilder().setKind(Dispatch.Kind.QUARANTINE);
        announced.held().forEach(held -> wire.addHeld(QuarantineCodec.write(held)));
        announced.released().forEach(it -> wire.addReleased(QuarantineCodec.write(it)));
        return wire.build().toByteArray();
    }

    private static byte[] write(DispatchAction.Decision decision) {
        return switch (decision) {
            case DispatchAction.Grant grant ->
                    start(Dispatch.Kind.GRANT, grant.run())
                            .setServer(grant.server().value())
                            .setWhy(grant.why())
                            .setWatched(grant.watched())
                            .build()
                            .toByteArray();
            case DispatchAction.Queued queued ->
                    start(Dispatch.Kind.QUEUED, queued.run()).build().toByteArray();
            case DispatchAction.Refuse refuse ->
                    start(Dispatch.Kind.REFUSE, refuse.run())
                            .setMillis(refuse.retryAfterMillis())
                            .setReason(write(refuse.reason()))
                            .build()
                            .toByteArray();
        };
    }

    private static Dispatch.Builder start(Dispatch.Kind kind, RunKey run) {
        return Dispatch.newBuilder()
                .setKind(kind)
                .setRun(run.number())
                .setOrigin(run.origin().value());
    }

    private static Dispatch.Builder write(StatedLimit limit, Dispatch.Builder wire) {
        return switch (limit) {
            case StatedLimit.Rate rate -> wire.setLimitPerSecond(rate.perSecond());
            case StatedLimit.None none -> wire.setUnlimited(true);
            case StatedLimit.Unknown unknown -> wire;
        };
    }

    private static Dispatch.Builder writeBrittle(StatedLimit brittle, Dispatch.Builder wire) {
        return switch (brittle) {
            case StatedLimit.Rate rate -> wire.setBrittlePerSecond(rate.perSecond());
            case StatedLimit.None none -> wire.setNotBrittle(true);
            case StatedLimit.Unknown unknown -> wire;
        };
    }

    private static Dispatch.Reason write(DispatchAction.Reason reason) {
        return switch (reason) {
            case QUOTA -> Dispatch.Reason.QUOTA;
            case OVERLOAD -> Dispatch.Reason.OVERLOAD;
            case NO_SERVER -> Dispatch.Reason.NO_SERVER;
            case HELD -> Dispatch.Reason.HELD;
        };
    }

    private static Dispatch.Ask write(PlacementRequest request) {
        Dispatch.Ask.Builder wire =
                Dispatch.Ask.newBuilder()
                        .setService(request.service().value())
                        .setRoute(request.route().value())
                        .setDomain(request.domain().value())
                        .setRank(request.rank())
                        .setTargetLeftMillis(request.targetLeftMillis())
                        .setDeadlineLeftMillis(request.deadlineLeftMillis())
                        .setPromptTokens(request.promptTokens())
                        .setOutputTokens(request.outputTokens())
                        .setQuotaUnits(request.quotaUnits())
                        .setContent(request.content().fingerprint());
        request.content().parts().forEach(part -> wire.addParts(part.value()));
        request.workspace().ifPresent(workspace -> wire.setWorkspace(workspace.value()));
        request.excluded().forEach(server -> wire.addExcluded(server.value()));
        wire.setRestricted(request.allowedDomains().isPresent());
        request.allowedDomains()
                .ifPresent(
                        domains ->
                                domains.forEach(domain -> wire.addAllowedDomains(domain.value())));
        return wire.build();
    }

    private static Dispatch.End write(RunReport report) {
        return Dispatch.End.newBuilder()
                .setOutcome(Dispatch.Outcome.valueOf(report.outcome().name()))
                .setEvents(report.events())
                .setFirstMillis(report.firstMillis())
                .setTotalMillis(report.totalMillis())
                .setStreamedMillis(report.streamedMillis())
                .build();
    }

    @Override
    public DispatchMessage decode(byte[] bytes) throws BadMessageException {
        try {
            return read(Dispatch.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadMessageException("invalid dispatch message: " + e.getMessage());
        }
    }

    private static DispatchMessage read(Dispatch wire) throws BadMessageException {
        if (wire.getKind() == Dispatch.Kind.FOLLOWS) {
            return new DispatchMessage.Follow();
        }
        if (wire.getKind() == Dispatch.Kind.QUOTAS_HANDED) {
            return new DispatchMessage.ToPrimary(readQuotas(wire));
        }
        if (wire.getKind() == Dispatch.Kind.SERVER_LEAVING) {
            return new DispatchMessage.ToPrimary(
                    new DispatchEvent.ServerLeaving(
                            new ServerId(wire.getServer()), wire.getMillis()));
        }
        if (wire.getKind() == Dispatch.Kind.SERVER_LIMITED) {
            return new DispatchMessage.ToPrimary(
                    new DispatchEvent.ServerLimited(
                            new ServerId(wire.getServer()),
                            wire.getMillis(),
                            new StatedLimit.Rate(wire.getLimitPerSecond())));
        }
        if (wire.getKind() == Dispatch.Kind.SERVER_COLD) {
            return new DispatchMessage.ToPrimary(NoticeCodec.readCold(wire));
        }
        if (wire.getKind() == Dispatch.Kind.SERVER_BRITTLE) {
            return new DispatchMessage.ToPrimary(NoticeCodec.readBrittle(wire));
        }
        if (wire.getKind() == Dispatch.Kind.HOME_BEGINS) {
            return new DispatchMessage.PrimaryStarted();
        }
        if (wire.getKind() == Dispatch.Kind.POOLS_UNREACHABLE) {
            return new DispatchMessage.PoolsUnreachable(
                    wire.getUnreachablePoolsList().stream()
                            .map(ServiceId::new)
                            .collect(Collectors.toSet()));
        }
        if (wire.getKind() == Dispatch.Kind.CRASHES_RECALLED) {
            return new DispatchMessage.ToPrimary(ReportCodec.readCrashes(wire));
        }
        if (wire.getKind() == Dispatch.Kind.QUARANTINE) {
            return new DispatchMessage.Quarantine(
                    new DispatchEvent.QuarantineAnnounced(
                            wire.getHeldList().stream().map(QuarantineCodec::read).toList(),
                            wire.getReleasedList().stream().map(QuarantineCodec::read).toList()));
        }
        if (wire.getKind() == Dispatch.Kind.RELEASE && wire.getReleasedCount() == 1) {
            return new DispatchMessage.ToPrimary(
                    new DispatchEvent.ReleaseOrdered(QuarantineCodec.read(wire.getReleased(0))));
        }
        if (wire.getKind() == Dispatch.Kind.MOVE_RECALLED) {
            return new DispatchMessage.ToPrimary(ReportCodec.readRollout(wire));
        }
        RunKey run = new RunKey(new HostId(wire.getOrigin()), wire.getRun());
        return switch (wire.getKind()) {
            case ASKED ->
                    new DispatchMessage.ToPrimary(
                            new DispatchEvent.PlacementRequested(run, read(wire.getAsk())));
            case SURVIVED -> new DispatchMessage.ToPrimary(new DispatchEvent.Survived(run));
            case WITHDRAWN -> new DispatchMessage.ToPrimary(new DispatchEvent.Withdrawn(run));
            case PLACED ->
                    new DispatchMessage.ToPrimary(
                            new DispatchEvent.Placed(
                                    run, read(wire.getAsk()), new ServerId(wire.getServer())));
            case FIRST ->
                    new DispatchMessage.ToPrimary(
                            new DispatchEvent.First(
                                    run, wire.getMillis(), readLimit(wire), readBrittle(wire)));
            case ENDED ->
                    new DispatchMessage.ToPrimary(new DispatchEvent.Ended(run, readReport(wire)));
            case GRANT ->
                    new DispatchMessage.FromPrimary(
                            new DispatchAction.Grant(
                                    run,
                                    new ServerId(wire.getServer()),
                                    wire.getWhy(),
                                    wire.getWatched()));
            case QUEUED -> new DispatchMessage.FromPrimary(new DispatchAction.Queued(run));
            case REFUSE ->
                    new DispatchMessage.FromPrimary(
                            new DispatchAction.Refuse(
                                    run, read(wire.getReason()), wire.getMillis()));
            case FOLLOWS,
                    POOLS_UNREACHABLE,
                    HOME_BEGINS,
                    QUOTAS_HANDED,
                    SERVER_LEAVING,
                    SERVER_LIMITED,
                    SERVER_COLD,
                    SERVER_BRITTLE,
                    CRASHES_RECALLED,
                    MOVE_RECALLED,
                    QUARANTINE,
                    RELEASE,
                    UNKNOWN,
                    UNRECOGNIZED ->
                    throw new BadMessageException(
                            "unknown kind of dispatch message " + wire.getKindValue());
        };
    }

    private static StatedLimit readLimit(Dispatch wire) {
        return switch (wire.getStatedLimitCase()) {
            case LIMIT_PER_SECOND -> new StatedLimit.Rate(wire.getLimitPerSecond());
            case UNLIMITED -> StatedLimit.NONE;
            case STATEDLIMIT_NOT_SET -> StatedLimit.UNKNOWN;
        };
    }

    private static StatedLimit readBrittle(Dispatch wire) {
        return switch (wire.getStatedBrittleCase()) {
            case BRITTLE_PER_SECOND -> new StatedLimit.Rate(wire.getBrittlePerSecond());
            case NOT_BRITTLE -> StatedLimit.NONE;
            case STATEDBRITTLE_NOT_SET -> StatedLimit.UNKNOWN;
        };
    }

    private static DispatchEvent.QuotasHandedOver readQuotas(Dispatch wire) {
        Map<WorkspaceId, Double> parts = new HashMap<>();
        for (Dispatch.QuotaPart quota : wire.getQuotasList()) {
            parts.put(new WorkspaceId(quota.getWorkspace()), quota.getPart());
        }
        return new DispatchEvent.QuotasHandedOver(parts);
    }

    private static DispatchAction.Reason read(Dispatch.Reason reason) throws BadMessageException {
        return switch (reason) {
            case QUOTA -> DispatchAction.Reason.QUOTA;
            case OVERLOAD -> DispatchAction.Reason.OVERLOAD;
            case NO_SERVER -> DispatchAction.Reason.NO_SERVER;
            case HELD -> DispatchAction.Reason.HELD;
            case NONE, UNRECOGNIZED ->
                    throw new BadMessageException("refusal must have a reason, found " + reason);
        };
    }

    private static PlacementRequest read(Dispatch.Ask wire) {
        Optional<WorkspaceId> workspace =
                wire.getWorkspace().isEmpty()
                        ? Optional.empty()
                        : Optional.of(new WorkspaceId(wire.getWorkspace()));
        return new PlacementRequest(
                new ServiceId(wire.getService()),
                new RouteId(wire.getRoute()),
                workspace,
                new FailureDomain(wire.getDomain()),
                wire.getRank(),
                wire.getTargetLeftMillis(),
                wire.getDeadlineLeftMillis(),
                wire.getPromptTokens(),
                wire.getOutputTokens(),
                wire.getQuotaUnits(),
                new RequestContent(
                        wire.getContent(),
                        wire.getPartsList().stream().map(PartId::new).collect(Collectors.toSet())),
                wire.getExcludedList().stream().map(ServerId::new).collect(Collectors.toSet()),
                readAllowedDomains(wire));
    }

    private static Optional<Set<FailureDomain>> readAllowedDomains(Dispatch.Ask wire) {
        return wire.getRestricted()
                ? Optional.of(
                        wire.getAllowedDomainsList().stream()
                                .map(FailureDomain::new)
                                .collect(Collectors.toSet()))
                : Optional.empty();
    }

    private static RunReport readReport(Dispatch wire) {
        Dispatch.End end = wire.getEnd();
        return new RunReport(
                RunReport.Outcome.valueOf(end.getOutcome().name()),
                end.getEvents(),
                end.getFirstMillis(),
                end.getTotalMillis(),
                end.getStreamedMillis(),
                readLimit(wire),
                readBrittle(wire));
    }
}
