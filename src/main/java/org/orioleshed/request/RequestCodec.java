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

/** The protobuf form of {@link RequestMessage}. */
public final class RequestCodec implements MessageCodec<RequestMessage> {
    @Override
    public byte[] encode(RequestMessage message) {
        RequestWire.RequestEnvelope.Builder form = RequestWire.RequestEnvelope.newBuilder();
        switch (message) {
            case PoisonSeen seen -> form.setPoisonSeen(poisonSeen(seen));
            case PoisonCleared cleared ->
                    form.setPoisonCleared(WireForms.of(cleared.fingerprint()));
            case KeyOpened opened ->
                    form.getKeyOpenedBuilder()
                            .setKey(WireForms.of(opened.key()))
                            .setRequest(WireForms.of(opened.request()));
            case KeyHolder holder -> form.setKeyHolder(keyHolder(holder));
            case KeyClosed closed ->
                    form.getKeyClosedBuilder()
                            .setKey(WireForms.of(closed.key()))
                            .setRequest(WireForms.of(closed.request()))
                            .setMayRunAgain(closed.mayRunAgain());
            case KeyRequested asked -> form.setKeyAsked(WireForms.of(asked.key()));
            case StatusRequested asked -> form.setFateAsked(statusRequested(asked));
            case StatusReported told -> form.setFateTold(statusReported(told));
            case ClaimRequested asked -> form.setClaimAsked(claimRequested(asked));
            case ClaimReported told -> form.setClaimTold(claimReported(told));
            case OutcomeRequested asked ->
                    form.getOutcomeAskedBuilder()
                            .setKey(WireForms.of(asked.key()))
                            .setRun(WireForms.of(asked.run()))
                            .setOutcome(WireForms.of(asked.outcome()));
        }
        return form.build().toByteArray();
    }

    @Override
    public RequestMessage decode(byte[] bytes) throws BadMessageException {
        try {
            return message(RequestWire.RequestEnvelope.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new BadMessageException("no request message: " + e.getMessage(), e);
        }
    }

    private static RequestMessage message(RequestWire.RequestEnvelope form) {
        return switch (form.getMessageCase()) {
            case POISON_SEEN -> poisonSeen(form.getPoisonSeen());
            case POISON_CLEARED ->
                    new PoisonCleared(WireForms.fingerprint(form.getPoisonCleared()));
            case KEY_OPENED ->
                    new KeyOpened(
                            WireForms.key(form.getKeyOpened().getKey()),
                            WireForms.request(form.getKeyOpened().getRequest()));
            case KEY_HOLDER -> keyHolder(form.getKeyHolder());
            case KEY_CLOSED ->
                    new KeyClosed(
                            WireForms.key(form.getKeyClosed().getKey()),
                            WireForms.request(form.getKeyClosed().getRequest()),
                            form.getKeyClosed().getMayRunAgain());
            case KEY_ASKED -> new KeyRequested(WireForms.key(form.getKeyAsked()));
            case FATE_ASKED -> statusRequested(form.getFateAsked());
            case FATE_TOLD -> statusReported(form.getFateTold());
            case CLAIM_ASKED -> claimRequested(form.getClaimAsked());
            case CLAIM_TOLD -> claimReported(form.getClaimTold());
            case OUTCOME_ASKED ->
                    new OutcomeRequested(
                            WireForms.key(form.getOutcomeAsked().getKey()),
                            WireForms.run(form.getOutcomeAsked().getRun()),
                            WireForms.outcome(form.getOutcomeAsked().getOutcome()));
            case MESSAGE_NOT_SET -> throw new IllegalArgumentException("message must be given");
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

    private static PoisonSeen poisonSeen(RequestWire.PoisonSeen form) {
        Optional<VersionId> version =
                form.getVersion().isEmpty()
                        ? Optional.empty()
                        : Optional.of(new VersionId(form.getVersion()));
        return new PoisonSeen(
                WireForms.fingerprint(form.getFingerprint()),
                new ServerId(form.getServer()),
                WireForms.run(form.getRun()),
                version);
    }

    private static RequestWire.KeyHolder keyHolder(KeyHolder holder) {
        RequestWire.KeyHolder.Builder form =
                RequestWire.KeyHolder.newBuilder().setKey(WireForms.of(holder.key()));
        holder.asker().ifPresent(asker -> form.setAsker(WireForms.of(asker)));
        holder.holder().ifPresent(request -> form.setHolder(WireForms.of(request)));
        return form.build();
    }

    private static KeyHolder keyHolder(RequestWire.KeyHolder form) {
        Optional<RequestId> asker =
                form.hasAsker()
                        ? Optional.of(WireForms.request(form.getAsker()))
                        : Optional.empty();
        Optional<RequestId> holder =
                form.hasHolder()
                        ? Optional.of(WireForms.request(form.getHolder()))
                        : Optional.empty();
        return new KeyHolder(WireForms.key(form.getKey()), asker, holder);
    }

    private static RequestWire.FateAsked statusRequested(StatusRequested asked) {
        RequestWire.FateAsked.Builder form =
                RequestWire.FateAsked.newBuilder().setKey(WireForms.of(asked.key()));
        asked.claim().ifPresent(claim -> form.setClaim(WireForms.of(claim)));
        return form.build();
    }

    private static StatusRequested statusRequested(RequestWire.FateAsked form) {
        Optional<RunId> claim =
                form.hasClaim() ? Optional.of(WireForms.run(form.getClaim())) : Optional.empty();
        return new StatusRequested(WireForms.key(form.getKey()), claim);
    }

    private static RequestWire.FateTold statusReported(StatusReported told) {
        RequestWire.FateTold.Builder form =
                RequestWire.FateTold.newBuilder()
                        .setKey(WireForms.of(told.key()))
                        .setFate(status(told.status()));
        told.claim().ifPresent(claim -> form.setClaim(WireForms.of(claim)));
        for (Piece piece : told.pieces()) {
            form.addPiecesBuilder()
                    .setFirstToken(piece.firstToken())
                    .setCount(piece.count())
                    .setText(WireForms.bytes(piece.text()));
        }
        return form.build();
    }

    private static StatusReported statusReported(RequestWire.FateTold form) {
        Optional<RunId> claim =
                form.hasClaim() ? Optional.of(WireForms.run(form.getClaim())) : Optional.empty();
        List<Piece> pieces = new ArrayList<>();
        for (RequestWire.Piece piece : form.getPiecesList()) {
            pieces.add(
                    new Piece(
                            piece.getFirstToken(),
                            piece.getCount(),
                            WireForms.payload(piece.getText())));
        }
        return new StatusReported(
                WireForms.key(form.getKey()), claim, status(form.getFate()), pieces);
    }

    private static RequestWire.Fate status(RequestStatus status) {
        RequestWire.Fate.Builder form = RequestWire.Fate.newBuilder();
        switch (status) {
            case RequestStatus.Unknown unknown -> form.setState(RequestWire.Fate.State.UNKNOWN);
            case RequestStatus.Pending pending -> form.setState(RequestWire.Fate.State.PENDING);
            case RequestStatus.Final end ->
                    form.setState(RequestWire.Fate.State.FINAL)
                            .setOutcome(WireForms.of(end.outcome()));
        }
        return form.build();
    }

    private static RequestStatus status(RequestWire.Fate form) {
        return switch (form.getState()) {
            case UNKNOWN -> new RequestStatus.Unknown();
            case PENDING -> new RequestStatus.Pending();
            case FINAL -> new RequestStatus.Final(WireForms.outcome(form.getOutcome()));
            case UNSET, UNRECOGNIZED -> throw new IllegalArgumentException("no such fate");
        };
    }

    private static RequestWire.ClaimAsked claimRequested(ClaimRequested asked) {
        RequestWire.ClaimAsked.Builder form =
                RequestWire.ClaimAsked.newBuilder()
                        .setKey(WireForms.of(asked.key()))
                        .setRun(WireForms.of(asked.run()));
        asked.replaces().ifPresent(replaces -> form.setReplaces(WireForms.of(replaces)));
        return form.build();
    }

    private static ClaimRequested claimRequested(RequestWire.ClaimAsked form) {
        Optional<RunId> replaces =
                form.hasReplaces()
                        ? Optional.of(WireForms.run(form.getReplaces()))
                        : Optional.empty();
        return new ClaimRequested(
                WireForms.key(form.getKey()), WireForms.run(form.getRun()), replaces);
    }

    private static RequestWire.ClaimTold claimReported(ClaimReported told) {
        RequestWire.ClaimTold.Builder form =
                RequestWire.ClaimTold.newBuilder()
                        .setKey(WireForms.of(told.key()))
                        .setRun(WireForms.of(told.run()));
        switch (told.result()) {
            case ClaimResult.Acquired owned -> form.setResult(RequestWire.ClaimTold.Result.OWNED);
            case ClaimResult.Unavailable unavailable ->
                    form.setResult(RequestWire.ClaimTold.Result.AWAY);
            case ClaimResult.Recorded recorded ->
                    form.setResult(RequestWire.ClaimTold.Result.RECORDED);
            case ClaimResult.Taken taken -> {
                form.setResult(RequestWire.ClaimTold.Result.TAKEN);
                form.setOwner(WireForms.of(taken.holder()));
                taken.outcome().ifPresent(outcome -> form.setOutcome(WireForms.of(outcome)));
            }
        }
        return form.build();
    }

    private static ClaimReported claimReported(RequestWire.ClaimTold form) {
        return new ClaimReported(
                WireForms.key(form.getKey()), WireForms.run(form.getRun()), claimResult(form));
    }

    private static ClaimResult claimResult(RequestWire.ClaimTold form) {
        return switch (form.getResult()) {
            case OWNED -> new ClaimResult.Acquired();
            case AWAY -> new ClaimResult.Unavailable();
            case RECORDED -> new ClaimResult.Recorded();
            case TAKEN -> {
                Optional<Outcome> outcome =
                        form.hasOutcome()
                                ? Optional.of(WireForms.outcome(form.getOutcome()))
                                : Optional.empty();
                yield new ClaimResult.Taken(WireForms.run(form.getOwner()), outcome);
            }
            case UNSET, UNRECOGNIZED -> throw new IllegalArgumentException("no such result");
        };
    }
}
