package org.orioleshed.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Request;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** Selects the servers that model requests are offered to. */
public interface ServerSelector {
    /**
     * Returns servers that can run the request, best first, without those that are leaving or
     * unreachable.
     *
     * @param version the required version; empty for any
     * @param resumeFromToken the number of answer tokens already received
     * @param excluded servers to leave out
     * @param count the maximum number of servers to return; positive
     */
    List<Choice> choices(
            long nowNanos,
            Request request,
            Optional<VersionId> version,
            int resumeFromToken,
            Set<ServerId> excluded,
            int count);

    /** Records that a request was placed on a server. */
    void placed(Request request, ServerId server);

    /** Records the length of a complete answer, in tokens. */
    void answered(Request request, int tokens);

    /**
     * A server and the host that receives the offer.
     *
     * @param server the server
     * @param owner the host that owns the server's queue
     * @param label the server and its score, for the log
     */
    record Choice(ServerId server, HostId owner, String label) {}
}
