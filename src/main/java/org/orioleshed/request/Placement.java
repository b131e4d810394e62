package org.orioleshed.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Request;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** Knows where a model request may be offered. */
public interface Placement {
    /**
     * Returns servers that could run the request, the best first, leaving and unreachable ones left
     * out.
     *
     * @param version the version wanted; empty when any will do
     * @param resumeFromToken how much of the answer the caller has
     * @param excluded servers that must not be returned
     * @param count the most servers to return, positive
     */
    List<Choice> choices(
            long nowNanos,
            Request request,
            Optional<VersionId> version,
            int resumeFromToken,
            Set<ServerId> excluded,
            int count);

    /** Notes that a request was placed on a server. */
    void placed(Request request, ServerId server);

    /** Notes the length of a whole answer, in tokens. */
    void answered(Request request, int tokens);

    /**
     * A server and the host to offer to.
     *
     * @param server the server
     * @param owner its owner
     * @param label the server and its score, for the log
     */
    record Choice(ServerId server, HostId owner, String label) {}
}
