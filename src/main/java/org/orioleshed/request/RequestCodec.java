package org.orioleshed.request;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageCodec;
import org.orioleshed.request.RequestMessage.ClaimReported;
import org.orioleshed.request.RequestMessage.ClaimRequested;
import org.orioleshed.request.RequestMessage.ClaimResult;
import org.orioleshed.request.RequestMessage.KeyClosed;
import org.orioleshed.request.RequestMessage.KeyHolder;
import org.orioleshed.request.RequestMessage.KeyOpened;
import org.orioleshed.request.RequestMessage.KeyRequested;
import org.orioleshed.request.RequestMessage.OutcomeRequested;
import org.orioleshed.request.RequestMessage.Piece;
import org.orioleshed.request.RequestMessage.PoisonCleared;
import org.orioleshed.request.RequestMessage.PoisonSeen;
import org.orioleshed.request.RequestMessage.StatusReported;
import org.orioleshed.request.RequestMessage.StatusRequested;
import org.orioleshed.wire.RequestWire;

/** Encodes and decodes {@link RequestMessage} as protobuf. */
public final class RequestCodec implements MessageCodec<RequestMessage> {
    @Override
    public byte[] encode(RequestMessage message) {
        RequestWire.RequestEnvelope.Builder proto = RequestWire.RequestEnvelope.newBuilder();
        switch (message) {
            case PoisonSeen seen -> proto.setPoisonSeen(poisonSeen(seen));
            case PoisonCleared cleared ->
                    proto.setPoisonCleared(WireForms.of(cleared.fingerprint()));
            case KeyOpened opened ->
                    proto.getKeyOpenedBuilder()
                            .setKey(WireForms.of(opened.key()))
                            .setRequest(WireForms.of(opened.request()));
            case KeyHolder holder -> proto.setKeyHolder(keyHolder(holder));
            case KeyClosed closed ->
                    proto.getKeyClosedBuilder()
                            .setKey(WireForms.of(closed.key()))
                            .setRequest(WireForms.of(closed.request()))
                            .setMayRunAgain(closed.mayRunAgain());
            case KeyRequested requested -> proto.setKeyAsked(WireForms.of(requested.key()));
            case StatusRequested requested -> proto.setFateAsked(statusRequested(requested));
            case StatusReported reported -> proto.setFateTold(statusReported(reported));
            case ClaimRequested requested -> proto.setClaimAsked(claimRequested(requested));
            case ClaimReported reported -> proto.setClaimTold(claimReported(reported));
            case OutcomeRequested requested ->
                    proto.getOutcomeAskedBuilder()
                            .setKey(WireForms.of(requested.key()))
                            .setRun(WireForms.of(requested.run()))
                            .setOutcome(WireForms.of(requested.outcome()));
        }
        return proto.build().toByteArray();
    }

    @Override
    public RequestMessage decode(byte[] bytes) throws BadMessageException {
        try {
            return message(RequestWire.RequestEnvelope.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadMessageException("malformed request message: " + e.getMessage(), e);
        }
    }

    private static RequestMessage message(RequestWire.RequestEnvelope proto) {
        return switch (proto.getMessageCase()) {
            case POISON_SEEN -> poisonSeen(proto.getPoisonSeen());
            case POISON_CLEARED ->
                    new PoisonCleared(WireForms.fingerprint(proto.getPoisonCleared()));
            case KEY_OPENED ->
                    new KeyOpened(
                            WireForms.key(proto.getKeyOpened().getKey()),
                            WireForms.request(proto.getKeyOpened().getRequest()));
            case KEY_HOLDER -> keyHolder(proto.getKeyHolder());
            case KEY_CLOSED ->
                    new KeyClosed(
                            WireForms.key(proto.getKeyClosed().getKey()),
                            WireForms.request(proto.getKeyClosed().getRequest()),
                            proto.getKeyClosed().getMayRunAgain());
            case KEY_ASKED -> new KeyRequested(WireForms.key(proto.getKeyAsked()));
            case FATE_ASKED -> statusRequested(proto.getFateAsked());
            case FATE_TOLD -> statusReported(proto.getFateTold());
            case CLAIM_ASKED -> claimRequested(proto.getClaimAsked());
            case CLAIM_TOLD -> claimReported(proto.getClaimTold());
            case OUTCOME_ASKED ->
                    new OutcomeRequested(
                            WireForms.key(proto.getOutcomeAsked().getKey()),
                            WireForms.run(proto.getOutcomeAsked().getRun()),
                            WireForms.outcome(proto.getOutcomeAsked().getOutcome()));
            case MESSAGE_NOT_SET ->
                    throw new IllegalArgumentException("request envelope has no message");
        };
    }

    private static RequestWire.PoisonSeen poisonSeen(PoisonSeen seen) {
        return RequestWire.PoisonSeen.newBuilder()
                .setFingerprint(WireForms.of(seen.fingerprint()))
                .setServer(seen.server().value())
                .setRun(WireForms.of(seen.run()))
                .setVersion(seen.version().map(VersionId::value).orElse(""))
                .build();
    }

    private static PoisonSeen poisonSeen(RequestWire.PoisonSeen proto) {
        Optional<VersionId> version =
                proto.getVersion().isEmpty()
                        ? Optional.empty()
                        : Optional.of(new VersionId(proto.getVersion()));
        return new PoisonSeen(
                WireForms.fingerprint(proto.getFingerprint()),
                new ServerId(proto.getServer()),
                WireForms.run(proto.getRun()),
                version);
    }

    private static RequestWire.KeyHolder keyHolder(KeyHolder holder) {
        RequestWire.KeyHolder.Builder proto =
                RequestWire.KeyHolder.newBuilder().setKey(WireForms.of(holder.key()));
        holder.requester().ifPresent(requester -> proto.setAsker(WireForms.of(requester)));
        holder.holder().ifPresent(request -> proto.setHolder(WireForms.of(request)));
        return proto.build();
    }

    private static KeyHolder keyHolder(RequestWire.KeyHolder proto) {
        Optional<RequestId> requester =
                proto.hasAsker()
                        ? Optional.of(WireForms.request(proto.getAsker()))
                        : Optional.empty();
        Optional<RequestId> holder =
                proto.hasHolder()
                        ? Optional.of(WireForms.request(proto.getHolder()))
                        : Optional.empty();
        return new KeyHolder(WireForms.key(proto.getKey()), requester, holder);
    }

    private static RequestWire.FateAsked statusRequested(StatusRequested requested) {
        RequestWire.FateAsked.Builder proto =
                RequestWire.FateAsked.newBuilder().setKey(WireForms.of(requested.key()));
        requested.claim().ifPresent(claim -> proto.setClaim(WireForms.of(claim)));
        return proto.build();
    }

    private static StatusRequested statusRequested(RequestWire.FateAsked proto) {
        Optional<RunId> claim =
                proto.hasClaim() ? Optional.of(WireForms.run(proto.getClaim())) : Optional.empty();
        return new StatusRequested(WireForms.key(proto.getKey()), claim);
    }

    private static RequestWire.FateTold statusReported(StatusReported reported) {
        RequestWire.FateTold.Builder proto =
                RequestWire.FateTold.newBuilder()
                        .setKey(WireForms.of(reported.key()))
                        .setFate(status(reported.status()));
        reported.claim().ifPresent(claim -> proto.setClaim(WireForms.of(claim)));
        for (Piece piece : reported.pieces()) {
            proto.addPiecesBuilder()
                    .setFirstToken(piece.firstToken())
                    .setCount(piece.count())
                    .setText(WireForms.bytes(piece.text()));
        }
        return proto.build();
    }

    private static StatusReported statusReported(RequestWire.FateTold proto) {
        Optional<RunId> claim =
                proto.hasClaim() ? Optional.of(WireForms.run(proto.getClaim())) : Optional.empty();
        List<Piece> pieces = new ArrayList<>();
        for (RequestWire.Piece piece : proto.getPiecesList()) {
            pieces.add(
                    new Piece(
                            piece.getFirstToken(),
                            piece.getCount(),
                            WireForms.payload(piece.getText())));
        }
        return new StatusReported(
                WireForms.key(proto.getKey()), claim, status(proto.getFate()), pieces);
    }

    private static RequestWire.Fate status(RequestStatus status) {
        RequestWire.Fate.Builder proto = RequestWire.Fate.newBuilder();
        switch (status) {
            case RequestStatus.Unknown unknown -> proto.setState(RequestWire.Fate.State.UNKNOWN);
            case RequestStatus.Pending pending -> proto.setState(RequestWire.Fate.State.PENDING);
            case RequestStatus.Final end ->
                    proto.setState(RequestWire.Fate.State.FINAL)
                            .setOutcome(WireForms.of(end.outcome()));
        }
        return proto.build();
    }

    private static RequestStatus status(RequestWire.Fate proto) {
        return switch (proto.getState()) {
            case UNKNOWN -> new RequestStatus.Unknown();
            case PENDING -> new RequestStatus.Pending();
            case FINAL -> new RequestStatus.Final(WireForms.outcome(proto.getOutcome()));
            case UNSET, UNRECOGNIZED ->
                    throw new IllegalArgumentException(
                            "status must be UNKNOWN, PENDING or FINAL, found " + proto.getState());
        };
    }

    private static RequestWire.ClaimAsked claimRequested(ClaimRequested requested) {
        RequestWire.ClaimAsked.Builder proto =
                RequestWire.ClaimAsked.newBuilder()
                        .setKey(WireForms.of(requested.key()))
                        .setRun(WireForms.of(requested.run()));
        requested.replaces().ifPresent(replaces -> proto.setReplaces(WireForms.of(replaces)));
        return proto.build();
    }

    private static ClaimRequested claimRequested(RequestWire.ClaimAsked proto) {
        Optional<RunId> replaces =
                proto.hasReplaces()
                        ? Optional.of(WireForms.run(proto.getReplaces()))
                        : Optional.empty();
        return new ClaimRequested(
                WireForms.key(proto.getKey()), WireForms.run(proto.getRun()), replaces);
    }

    private static RequestWire.ClaimTold claimReported(ClaimReported reported) {
        RequestWire.ClaimTold.Builder proto =
                RequestWire.ClaimTold.newBuilder()
                        .setKey(WireForms.of(reported.key()))
                        .setRun(WireForms.of(reported.run()));
        switch (reported.result()) {
            case ClaimResult.Acquired acquired ->
                    proto.setResult(RequestWire.ClaimTold.Result.OWNED);
            case ClaimResult.Unavailable unavailable ->
                    proto.setResult(RequestWire.ClaimTold.Result.AWAY);
            case ClaimResult.Recorded recorded ->
                    proto.setResult(RequestWire.ClaimTold.Result.RECORDED);
            case ClaimResult.Taken taken -> {
                proto.setResult(RequestWire.ClaimTold.Result.TAKEN);
                proto.setOwner(WireForms.of(taken.holder()));
                taken.outcome().ifPresent(outcome -> proto.setOutcome(WireForms.of(outcome)));
            }
        }
        return proto.build();
    }

    private static ClaimReported claimReported(RequestWire.ClaimTold proto) {
        return new ClaimReported(
                WireForms.key(proto.getKey()), WireForms.run(proto.getRun()), claimResult(proto));
    }

    private static ClaimResult claimResult(RequestWire.ClaimTold proto) {
        return switch (proto.getResult()) {
            case OWNED -> new ClaimResult.Acquired();
            case AWAY -> new ClaimResult.Unavailable();
            case RECORDED -> new ClaimResult.Recorded();
            case TAKEN -> {
                Optional<Outcome> outcome =
                        proto.hasOutcome()
                                ? Optional.of(WireForms.outcome(proto.getOutcome()))
                                : Optional.empty();
                yield new ClaimResult.Taken(WireForms.run(proto.getOwner()), outcome);
            }
            case UNSET, UNRECOGNIZED ->
                    throw new IllegalArgumentException(
                            "claim result must be OWNED, AWAY, RECORDED or TAKEN, found "
                                    + proto.getResult());
        };
    }
}
