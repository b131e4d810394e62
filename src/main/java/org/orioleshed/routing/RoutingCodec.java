package org.orioleshed.routing;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageCodec;
import org.orioleshed.wire.RoutingWire;

/** Encodes and decodes {@link RoutingMessage} as protobuf. Stateless and thread-safe. */
public final class RoutingCodec implements MessageCodec<RoutingMessage> {
    /** Creates a codec. */
    public RoutingCodec() {}

    @Override
    public byte[] encode(RoutingMessage message) {
        RoutingWire.Routing.Builder wire = RoutingWire.Routing.newBuilder();
        switch (message) {
            case RoutingMessage.Offered m -> wire.setOffered(offered(m));
            case RoutingMessage.Granted m ->
                    wire.getGrantedBuilder()
                            .setRun(run(m.run()))
                            .setServer(m.server().value())
                            .setReservedMillis(m.reservedMillis());
            case RoutingMessage.Refused m ->
                    wire.getRefusedBuilder()
                            .setRun(run(m.run()))
                            .setServer(m.server().value())
                            .setReason(reason(m.reason()))
                            .setLowerTierRuns(m.lowerTierRuns())
                            .setExpectedWaitMillis(m.expectedWaitMillis());
            case RoutingMessage.Withdrawn m ->
                    wire.getWithdrawnBuilder().setRun(run(m.run())).setServer(m.server().value());
            case RoutingMessage.Placed m ->
                    wire.getPlacedBuilder()
                            .setRun(run(m.run()))
                            .setServer(m.server().value())
                            .setBody(bytes(m.body()))
                            .setResumeFromToken(m.resumeFromToken())
                            .setCreditTokens(m.creditTokens());
            case RoutingMessage.Tokens m ->
                    wire.getTokensBuilder()
                            .setRun(run(m.run()))
                            .setFirstToken(m.firstToken())
                            .setCount(m.count())
                            .setText(bytes(m.text()));
            case RoutingMessage.Credit m ->
                    wire.getCreditBuilder().setRun(run(m.run())).setTokens(m.tokens());
            case RoutingMessage.Cancelled m -> wire.getCancelledBuilder().setRun(run(m.run()));
            case RoutingMessage.Ended m -> wire.setEnded(ended(m));
            case RoutingMessage.ServerLoads m -> wire.setServerLoads(serverLoads(m));
            case RoutingMessage.DomainLoads m -> wire.setDomainLoads(domainLoads(m));
        }
        return wire.build().toByteArray();
    }

    @Override
    public RoutingMessage decode(byte[] bytes) throws BadMessageException {
        try {
            return message(RoutingWire.Routing.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new BadMessageException("not a routing message", e);
        } catch (IllegalArgumentException e) {
            throw new BadMessageException("invalid routing message: " + e.getMessage(), e);
        }
    }

    private static RoutingMessage message(RoutingWire.Routing wire) throws BadMessageException {
        return switch (wire.getMessageCase()) {
            case OFFERED -> offered(wire.getOffered());
            case GRANTED -> granted(wire.getGranted());
            case REFUSED -> refused(wire.getRefused());
            case WITHDRAWN -> withdrawn(wire.getWithdrawn());
            case PLACED -> placed(wire.getPlaced());
            case TOKENS -> tokens(wire.getTokens());
            case CREDIT ->
                    new RoutingMessage.Credit(
                            run(wire.getCredit().getRun()),
                            nonNegative("tokens", wire.getCredit().getTokens()));
            case CANCELLED -> new RoutingMessage.Cancelled(run(wire.getCancelled().getRun()));
            case ENDED -> ended(wire.getEnded());
            case SERVER_LOADS -> serverLoads(wire.getServerLoads());
            case DOMAIN_LOADS -> domainLoads(wire.getDomainLoads());
            case MESSAGE_NOT_SET -> throw new BadMessageException("routing message has no content");
        };
    }

    private static RoutingWire.Offered offered(RoutingMessage.Offered message) {
        RoutingMessage.Offer offer = message.offer();
        return RoutingWire.Offered.newBuilder()
                .setRun(run(message.run()))
                .setServer(message.server().value())
                .setWorkspace(offer.workspace().value())
                .setRoute(offer.route().value())
                .setTier(offer.tier().name())
                .setTierRank(offer.tier().rank())
                .setRemainingMillis(offer.remainingMillis())
                .setAgeMillis(offer.ageMillis())
                .setPromptTokens(offer.promptTokens())
                .setOutputTokens(offer.outputTokens())
                .addAllPrefixHashes(offer.prefixHashes())
                .setPreemptions(offer.preemptions())
                .setFingerprintHigh(offer.fingerprint().high())
                .setFingerprintLow(offer.fingerprint().low())
                .build();
    }

    private static RoutingMessage.Offered offered(RoutingWire.Offered wire)
            throws BadMessageException {
        RoutingMessage.Offer offer =
                new RoutingMessage.Offer(
                        new WorkspaceId(wire.getWorkspace()),
                        new RouteId(wire.getRoute()),
                        new Tier(wire.getTier(), wire.getTierRank()),
                        wire.getRemainingMillis(),
                        nonNegative("ageMillis", wire.getAgeMillis()),
                        nonNegative("promptTokens", wire.getPromptTokens()),
                        nonNegative("outputTokens", wire.getOutputTokens()),
                        wire.getPrefixHashesList(),
                        nonNegative("preemptions", wire.getPreemptions()),
                        new Fingerprint(wire.getFingerprintHigh(), wire.getFingerprintLow()));
        return new RoutingMessage.Offered(
                run(wire.getRun()), new ServerId(wire.getServer()), offer);
    }

    private static RoutingMessage.Granted granted(RoutingWire.Granted wire)
            throws BadMessageException {
        return new RoutingMessage.Granted(
                run(wire.getRun()),
                new ServerId(wire.getServer()),
                nonNegative("reservedMillis", wire.getReservedMillis()));
    }

    private static RoutingMessage.Refused refused(RoutingWire.Refused wire)
            throws BadMessageException {
        return new RoutingMessage.Refused(
                run(wire.getRun()),
                new ServerId(wire.getServer()),
                reason(wire.getReason()),
                wire.getLowerTierRuns(),
                nonNegative("expectedWaitMillis", wire.getExpectedWaitMillis()));
    }

    private static RoutingMessage.Withdrawn withdrawn(RoutingWire.Withdrawn wire) {
        return new RoutingMessage.Withdrawn(run(wire.getRun()), new ServerId(wire.getServer()));
    }

    private static RoutingMessage.Placed placed(RoutingWire.Placed wire)
            throws BadMessageException {
        return new RoutingMessage.Placed(
                run(wire.getRun()),
                new ServerId(wire.getServer()),
                Payload.of(wire.getBody().toByteArray()),
                nonNegative("resumeFromToken", wire.getResumeFromToken()),
                nonNegative("creditTokens", wire.getCreditTokens()));
    }

    private static RoutingMessage.Tokens tokens(RoutingWire.Tokens wire)
            throws BadMessageException {
        return new RoutingMessage.Tokens(
                run(wire.getRun()),
                nonNegative("firstToken", wire.getFirstToken()),
                nonNegative("count", wire.getCount()),
                Payload.of(wire.getText().toByteArray()));
    }

    private static RoutingWire.Ended ended(RoutingMessage.Ended message) {
        RoutingWire.Ended.Builder wire = RoutingWire.Ended.newBuilder().setRun(run(message.run()));
        switch (message.end()) {
            case RunEnd.Finished end -> wire.getFinishedBuilder().setTotalTokens(end.totalTokens());
            case RunEnd.Cancelled end ->
                    wire.getStoppedBuilder().setPrefillTokensWasted(end.prefillTokensWasted());
            case RunEnd.Preempted end ->
                    wire.getPreemptedBuilder().setDeliveredTokens(end.deliveredTokens());
            case RunEnd.NeverStarted end -> wire.getNeverStartedBuilder();
            case RunEnd.EngineError end ->
                    wire.getEngineErrorBuilder()
                            .setRetryable(end.retryable())
                            .setDetail(end.detail());
            case RunEnd.Broken end ->
                    wire.getBrokenBuilder()
                            .setCrashed(end.crashed())
                            .setConfirmedEnded(end.confirmedEnded());
        }
        return wire.build();
    }

    private static RoutingMessage.Ended ended(RoutingWire.Ended wire) throws BadMessageException {
        RunEnd end =
                switch (wire.getEndCase()) {
                    case FINISHED ->
                            new RunEnd.Finished(
                                    nonNegative(
                                            "totalTokens", wire.getFinished().getTotalTokens()));
                    case STOPPED ->
                            new RunEnd.Cancelled(
                                    nonNegative(
                                            "prefillTokensWasted",
                                            wire.getStopped().getPrefillTokensWasted()));
                    case PREEMPTED ->
                            new RunEnd.Preempted(
                                    nonNegative(
                                            "deliveredTokens",
                                            wire.getPreempted().getDeliveredTokens()));
                    case NEVER_STARTED -> new RunEnd.NeverStarted();
                    case ENGINE_ERROR ->
                            new RunEnd.EngineError(
                                    wire.getEngineError().getRetryable(),
                                    wire.getEngineError().getDetail());
                    case BROKEN ->
                            new RunEnd.Broken(
                                    wire.getBroken().getCrashed(),
                                    wire.getBroken().getConfirmedEnded());
                    case END_NOT_SET -> throw new BadMessageException("Ended message has no end");
                };
        return new RoutingMessage.Ended(run(wire.getRun()), end);
    }

    private static RoutingWire.ServerLoads serverLoads(RoutingMessage.ServerLoads message) {
        RoutingWire.ServerLoads.Builder wire = RoutingWire.ServerLoads.newBuilder();
        for (RoutingMessage.ServerLoad load : message.loads()) {
            wire.addLoadsBuilder()
                    .setServer(load.server().value())
                    .setRunning(load.running())
                    .setLimit(load.limit())
                    .addAllWaitMillisByRank(load.waitMillisByRank())
                    .setPrefillTokensPerSecond(load.prefillTokensPerSecond())
                    .setTokenGapMillis(load.tokenGapMillis());
        }
        return wire.build();
    }

    private static RoutingMessage.ServerLoads serverLoads(RoutingWire.ServerLoads wire)
            throws BadMessageException {
        List<RoutingMessage.ServerLoad> loads = new ArrayList<>();
        for (RoutingWire.ServerLoads.ServerLoad load : wire.getLoadsList()) {
            loads.add(
                    new RoutingMessage.ServerLoad(
                            new ServerId(load.getServer()),
                            nonNegative("running", load.getRunning()),
                            nonNegative("limit", load.getLimit()),
                            nonNegativeWaits(load.getWaitMillisByRankList()),
                            nonNegative("prefillTokensPerSecond", load.getPrefillTokensPerSecond()),
                            nonNegative("tokenGapMillis", load.getTokenGapMillis())));
        }
        return new RoutingMessage.ServerLoads(loads);
    }

    private static RoutingWire.DomainLoads domainLoads(RoutingMessage.DomainLoads message) {
        RoutingWire.DomainLoads.Builder wire =
                RoutingWire.DomainLoads.newBuilder().setDomain(message.domain().value());
        for (RoutingMessage.ModelLoad load : message.loads()) {
            wire.addLoadsBuilder()
                    .setModel(load.model().value())
                    .setServers(load.servers())
                    .setFreePlaces(load.freePlaces())
                    .addAllWaitMillisByRank(load.waitMillisByRank())
                    .addAllBest(load.best().stream().map(ServerId::value).toList());
        }
        return wire.build();
    }

    private static RoutingMessage.DomainLoads domainLoads(RoutingWire.DomainLoads wire)
            throws BadMessageException {
        List<RoutingMessage.ModelLoad> loads = new ArrayList<>();
        for (RoutingWire.DomainLoads.ModelLoad load : wire.getLoadsList()) {
            loads.add(
                    new RoutingMessage.ModelLoad(
                            new ModelId(load.getModel()),
                            nonNegative("servers", load.getServers()),
                            nonNegative("freePlaces", load.getFreePlaces()),
                            nonNegativeWaits(load.getWaitMillisByRankList()),
                            load.getBestList().stream().map(ServerId::new).toList()));
        }
        return new RoutingMessage.DomainLoads(new FailureDomain(wire.getDomain()), loads);
    }

    private static RoutingWire.Run run(RunId run) {
        return RoutingWire.Run.newBuilder()
                .setHost(run.request().host().value())
                .setIncarnation(run.request().incarnation())
                .setSequence(run.request().sequence())
                .setAttempt(run.attempt())
                .build();
    }

    private static RunId run(RoutingWire.Run wire) {
        RequestId request =
                new RequestId(
                        new HostId(wire.getHost()), wire.getIncarnation(), wire.getSequence());
        return new RunId(request, wire.getAttempt());
    }

    private static RoutingWire.Refused.Reason reason(RoutingMessage.RefusalReason reason) {
        return switch (reason) {
            case OVERLOAD -> RoutingWire.Refused.Reason.OVERLOAD;
            case NOT_HOME -> RoutingWire.Refused.Reason.NOT_HOME;
            case NO_SERVER -> RoutingWire.Refused.Reason.NO_SERVER;
            case DRAINING -> RoutingWire.Refused.Reason.DRAINING;
            case POISON -> RoutingWire.Refused.Reason.POISON;
        };
    }

    private static RoutingMessage.RefusalReason reason(RoutingWire.Refused.Reason reason)
            throws BadMessageException {
        return switch (reason) {
            case OVERLOAD -> RoutingMessage.RefusalReason.OVERLOAD;
            case NOT_HOME -> RoutingMessage.RefusalReason.NOT_HOME;
            case NO_SERVER -> RoutingMessage.RefusalReason.NO_SERVER;
            case DRAINING -> RoutingMessage.RefusalReason.DRAINING;
            case POISON -> RoutingMessage.RefusalReason.POISON;
            case UNKNOWN, UNRECOGNIZED ->
                    throw new BadMessageException("unknown refusal reason " + reason);
        };
    }

    private static List<Long> nonNegativeWaits(List<Long> millis) throws BadMessageException {
        for (long wait : millis) {
            nonNegative("waitMillisByRank", wait);
        }
        return millis;
    }

    private static int nonNegative(String name, int value) throws BadMessageException {
        if (value < 0) {
            throw new BadMessageException(name + " must not be negative, found " + value);
        }
        return value;
    }

    private static long nonNegative(String name, long value) throws BadMessageException {
        if (value < 0) {
            throw new BadMessageException(name + " must not be negative, found " + value);
        }
        return value;
    }

    private static ByteString bytes(Payload payload) {
        return ByteString.copyFrom(payload.toBytes());
    }
}
