package org.orioleshed.request;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * The messages between hosts about keys, request statuses, claims and content that crashes servers.
 */
public sealed interface RequestMessage {
    /**
     * A server crashed while content ran on it.
     *
     * @param fingerprint the content
     * @param server the server
     * @param run the run of the content on that server; identifies the crash when it is reported
     *     repeatedly
     * @param version the version on the server, if known
     */
    record PoisonSeen(
            Fingerprint fingerprint, ServerId server, RunId run, Optional<VersionId> version)
            implements RequestMessage {}

    /**
     * Suspect content ran successfully, or an operator released it.
     *
     * @param fingerprint the content
     */
    record PoisonCleared(Fingerprint fingerprint) implements RequestMessage {}

    /**
     * Sent by the accepting host to a directory host of the key to register a request. Answered by
     * {@link KeyHolder}.
     *
     * @param key the key
     * @param request the request to be run
     */
    record KeyOpened(RequestKey key, RequestId request) implements RequestMessage {}

    /**
     * The directory host's reply with the request that holds the key.
     *
     * @param key the key
     * @param requester the request of the {@link KeyOpened} message; empty in reply to {@link
     *     KeyRequested}
     * @param holder the request that runs, or ran last; empty if none is recorded
     */
    record KeyHolder(RequestKey key, Optional<RequestId> requester, Optional<RequestId> holder)
            implements RequestMessage {}

    /**
     * Sent by the accepting host to a directory host when the request ended.
     *
     * @param key the key
     * @param request the request that ended
     * @param mayRunAgain whether a resend of the key starts a new run
     */
    record KeyClosed(RequestKey key, RequestId request, boolean mayRunAgain)
            implements RequestMessage {}

    /**
     * Requests the holder of a key from its directory host. Answered by {@link KeyHolder}.
     *
     * @param key the key
     */
    record KeyRequested(RequestKey key) implements RequestMessage {}

    /**
     * Requests the status of a key from the host that accepted a request with it. Answered by
     * {@link StatusReported}.
     *
     * @param key the key
     * @param claim the claimed run to report on; empty for the key's latest request
     */
    record StatusRequested(RequestKey key, Optional<RunId> claim) implements RequestMessage {}

    /**
     * The accepting host's reply to {@link StatusRequested}.
     *
     * @param key the key
     * @param claim the claimed run of the request message
     * @param status the status of the key or claimed run
     * @param pieces a model's complete answer, if {@code status} is an answer; otherwise empty
     */
    record StatusReported(
            RequestKey key, Optional<RunId> claim, RequestStatus status, List<Piece> pieces)
            implements RequestMessage {
        /** Copies the list. */
        public StatusReported {
            pieces = List.copyOf(pieces);
        }
    }

    /**
     * A part of a model's answer.
     *
     * @param firstToken the offset of its first token in the complete answer
     * @param count the number of tokens
     * @param text the text of the piece
     */
    record Piece(int firstToken, int count, Payload text) {}

    /**
     * Requests the writer of the key's bucket to claim the key for a run of the sender. Answered by
     * {@link ClaimReported}; may be repeated.
     *
     * @param key the key
     * @param run the run to claim it for
     * @param replaces an earlier claim that is proved never to be sent
     */
    record ClaimRequested(RequestKey key, RunId run, Optional<RunId> replaces)
            implements RequestMessage {}

    /**
     * The writer's reply to {@link ClaimRequested} or {@link OutcomeRequested}.
     *
     * @param key the key
     * @param run the run of the request message
     * @param result the result
     */
    record ClaimReported(RequestKey key, RunId run, ClaimResult result) implements RequestMessage {}

    /**
     * Requests the writer of the key's bucket to record the outcome of a claimed run. May be
     * repeated.
     *
     * @param key the key
     * @param run the claimed run
     * @param outcome its outcome
     */
    record OutcomeRequested(RequestKey key, RunId run, Outcome outcome) implements RequestMessage {}

    /** The result of a requested claim or of an outcome to be recorded. */
    sealed interface ClaimResult {
        /** The claim is stored. */
        record Acquired() implements ClaimResult {}

        /** Another run holds the key; its outcome is included if recorded. */
        record Taken(RunId holder, Optional<Outcome> outcome) implements ClaimResult {}

        /** The store is unavailable. */
        record Unavailable() implements ClaimResult {}

        /** The outcome is stored. */
        record Recorded() implements ClaimResult {}
    }

    /** Returns whether a resend of the key may start a new run after an outcome. */
    static boolean mayRunAgain(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> false;
            case Outcome.InDoubt inDoubt -> false;
            case Outcome.NotRun notRun -> true;
            case Outcome.Failed failed -> true;
        };
    }
}
