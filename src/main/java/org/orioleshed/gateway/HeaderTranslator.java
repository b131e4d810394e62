package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.WorkspaceId;

/** Translates header fields between callers, this system and backend servers. */
public interface HeaderTranslator {
    /** Returns what a caller's header fields say. */
    CallHeaders read(HttpHeaders headers);

    /**
     * Returns what a server's header fields say.
     *
     * @param status the answer's status
     */
    ResponseHeaders readAnswer(int status, HttpHeaders headers);

    /**
     * Returns the header fields for a server: the caller's, less those of its connection and those
     * that only this system sets, and those that this system sets.
     */
    HttpHeaders toServer(HttpHeaders callers, ServerOrder order);

    /** Returns the header fields of a server's answer that its caller gets. */
    HttpHeaders toCaller(HttpHeaders servers);

    /**
     * Adds to an answer of this system's own which request it answers and when to come back.
     *
     * @param headers the answer's header fields
     * @param id the caller's id of the attempt, or empty
     * @param retryAfterMillis when to come back, in milliseconds; negative for no word on it
     */
    void markOwn(HttpHeaders headers, String id, long retryAfterMillis);

    /**
     * What this system tells a server with a request.
     *
     * @param server the server meant
     * @param workspace whose request it is
     * @param deadlineMillis how long its caller still waits, in milliseconds
     * @param lastEvent the last event that the caller has, where a stream goes on
     */
    record ServerOrder(
            ServerId server,
            Optional<WorkspaceId> workspace,
            long deadlineMillis,
            Optional<String> lastEvent) {}
}
