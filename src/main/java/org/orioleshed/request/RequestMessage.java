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

/** What hosts say to each other about keys, request statuses and content that crashes servers. */
public sealed interface RequestMessage {
    /**
     * A server crashed while content ran on it.
     *
     * @param fingerprint the content
     * @param server the server
     * @param run the run of the content on that server; one crash is told of several times
     * @param version the version that the server ran, if known
     */
    record PoisonSeen(
            Fingerprint fingerprint, ServerId server, RunId run, Optional<VersionId> version)
            implements RequestMessage {}

    /**
     * Content under suspicion ran well, or an operator released it.
     *
     * @param fingerprint the content
     */
    record PoisonCleared(Fingerprint fingerprint) implements RequestMessage {}

    /**
     * Accepting host to the key's directory host: I have a request with this key. Answered by
     * {@link KeyHolder}.
     *
     * @param key the key
     * @param request the request that would run
     */
    record KeyOpened(RequestKey key, RequestId request) implements RequestMessage {}

    /**
     * Directory host to asker: who runs the key.
     *
     * @param key the key
     * @param asker the request that asked, when it was {@link KeyOpened}
     * @param holder the request that runs, or ran last; empty when none is known
     */
    record KeyHolder(RequestKey key, Optional<RequestId> asker, Optional<RequestId> holder)
            implements RequestMessage {}

    /**
     * Accepting host to directory host: the request ended.
     *
     * @param key the key
     * @param request the request that ended
     * @param mayRunAgain whether a resend of the key starts a new run
     */
    record KeyClosed(RequestKey key, RequestId request, boolean mayRunAgain)
            implements RequestMessage {}

    /**
     * To the key's directory host: who runs the key? Answered by {@link KeyHolder}.
     *
     * @param key the key
     */
    record KeyRequested(RequestKey key) implements RequestMessage {}

    /**
     * To the host that accepted a request with the key: what became of it? Answered by {@link
     * StatusReported}.
     *
     * @param key the key
     * @param claim the claimed run asked about; empty for the key's latest request
     */
    record StatusRequested(RequestKey key, Optional<RunId> claim) implements RequestMessage {}

    /**
     * Accepting host to asker.
     *
     * @param key the key
     * @param claim as asked
     * @param status what is known of it
     * @param pieces a model's whole answer, when {@code status} is an answer; empty otherwise
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
     * @param firstToken the offset of its first token in the whole answer
     * @param count the number of tokens
     * @param text the part
     */
    record Piece(int firstToken, int count, Payload text) {}

    /**
     * To the host that writes the key's page of claims: claim it for a run of the asker. Answered
     * by {@link ClaimReported}; may be repeated.
     *
     * @param key the key
     * @param run the run to claim it for
     * @param replaces an earlier claim that is proved never to be sent
     */
    record ClaimRequested(RequestKey key, RunId run, Optional<RunId> replaces)
            implements RequestMessage {}

    /**
     * Writer to asker: what became of {@link ClaimRequested} or {@link OutcomeRequested}.
     *
     * @param key the key
     * @param run the run asked for
     * @param result what became of it
     */
    record ClaimReported(RequestKey key, RunId run, ClaimResult result) implements RequestMessage {}

    /**
     * To the host that writes the key's page of claims: record the outcome of a claimed run. May be
     * repeated.
     *
     * @param key the key
     * @param run the claimed run
     * @param outcome its outcome
     */
    record OutcomeRequested(RequestKey key, RunId run, Outcome outcome) implements RequestMessage {}

    /** What became of a claim asked for, or of an outcome to be recorded. */
    sealed interface ClaimResult {
        /** The claim stands in the store. */
        record Acquired() implements ClaimResult {}

        /** Another run has the key; its outcome is given when it is recorded. */
        record Taken(RunId holder, Optional<Outcome> outcome) implements ClaimResult {}

        /** The store is away, or the host asked is not the writer. */
        record Unavailable() implements ClaimResult {}

        /** The outcome stands in the store. */
        record Recorded() implements ClaimResult {}
    }

    /** Returns whether an outcome leaves the key free to be run again. */
    static boolean mayRunAgain(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> false;
            case Outcome.InDoubt doubt -> false;
            case Outcome.NotRun notRun -> true;
            case Outcome.Failed failed -> true;
        };
    }
}
