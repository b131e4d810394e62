package org.orioleshed.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.request.RequestMessage.ClaimResult;

/**
 * Properties of {@link RequestCodec}: a message survives a round trip, and invalid bytes fail only
 * with {@link BadMessageException}.
 */
class RequestCodecProperties {
    private static final RequestKey KEY = new RequestKey(new WorkspaceId("association"), "k");
    private static final RequestId REQUEST = new RequestId(new HostId("suva-a.1"), 3, 9);
    private static final RunId RUN = new RunId(REQUEST, 2);
    private static final Fingerprint CONTENT = new Fingerprint(-1, 7);

    private final RequestCodec codec = new RequestCodec();

    @Provide
    Arbitrary<RequestMessage> messages() {
        List<RequestMessage> all = new ArrayList<>();
        Optional<VersionId> version = Optional.of(new VersionId("v2"));
        ServerId server = new ServerId("m1");
        all.add(new RequestMessage.PoisonSeen(CONTENT, server, RUN, version));
        all.add(new RequestMessage.PoisonSeen(CONTENT, server, RUN, Optional.empty()));
        all.add(new RequestMessage.PoisonCleared(CONTENT));
        all.add(new RequestMessage.KeyOpened(KEY, REQUEST));
        all.add(new RequestMessage.KeyHolder(KEY, Optional.of(REQUEST), Optional.empty()));
        all.add(new RequestMessage.KeyHolder(KEY, Optional.empty(), Optional.of(REQUEST)));
        all.add(new RequestMessage.KeyClosed(KEY, REQUEST, true));
        all.add(new RequestMessage.KeyRequested(KEY));
        all.add(new RequestMessage.StatusRequested(KEY, Optional.of(RUN)));
        all.add(new RequestMessage.ClaimRequested(KEY, RUN, Optional.of(RUN)));
        for (Outcome outcome : outcomes()) {
            List<RequestMessage.Piece> pieces =
                    List.of(new RequestMessage.Piece(0, 2, Payload.of("a b ")));
            RequestStatus status = new RequestStatus.Final(outcome);
            all.add(new RequestMessage.StatusReported(KEY, Optional.empty(), status, pieces));
            all.add(new RequestMessage.OutcomeRequested(KEY, RUN, outcome));
            ClaimResult taken = new ClaimResult.Taken(RUN, Optional.of(outcome));
            all.add(new RequestMessage.ClaimReported(KEY, RUN, taken));
        }
        for (RequestStatus status :
                List.of(new RequestStatus.Unknown(), new RequestStatus.Pending())) {
            all.add(new RequestMessage.StatusReported(KEY, Optional.of(RUN), status, List.of()));
        }
        for (ClaimResult result :
                List.of(
                        new ClaimResult.Acquired(),
                        new ClaimResult.Unavailable(),
                        new ClaimResult.Recorded(),
                        new ClaimResult.Taken(RUN, Optional.empty()))) {
            all.add(new RequestMessage.ClaimReported(KEY, RUN, result));
        }
        return Arbitraries.of(all);
    }

    private static List<Outcome> outcomes() {
        List<Outcome> all = new ArrayList<>();
        all.add(new Outcome.Answered(3, Payload.of("body")));
        all.add(new Outcome.InDoubt("silent"));
        for (Outcome.FailReason reason : Outcome.FailReason.values()) {
            all.add(new Outcome.Failed(reason, "detail"));
        }
        for (Outcome.NotRunReason reason : Outcome.NotRunReason.values()) {
            all.add(new Outcome.NotRun(reason, -1));
        }
        return all;
    }

    @Property(tries = 300, seed = "11")
    boolean decodingReversesEncoding(@ForAll("messages") RequestMessage message)
            throws BadMessageException {
        return codec.decode(codec.encode(message)).equals(message);
    }

    @Property(tries = 2_000, seed = "12")
    void arbitraryBytesDecodeOrThrowBadMessage(@ForAll byte[] bytes) {
        decodeOrThrowBadMessage(bytes);
    }

    @Property(tries = 2_000, seed = "13")
    void damagedMessageDecodesOrThrowsBadMessage(
            @ForAll("messages") RequestMessage message,
            @ForAll @IntRange(min = 0, max = 500) int at,
            @ForAll byte replacement,
            @ForAll boolean cut) {
        byte[] bytes = codec.encode(message);
        int index = at % bytes.length;
        bytes[index] = replacement;
        decodeOrThrowBadMessage(cut ? Arrays.copyOf(bytes, index) : bytes);
    }

    private void decodeOrThrowBadMessage(byte[] bytes) {
        try {
            codec.decode(bytes);
        } catch (BadMessageException expected) {
            // The only exception that invalid bytes may cause.
        }
    }
}
