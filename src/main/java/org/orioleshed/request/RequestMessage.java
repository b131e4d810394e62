package org.orioleshed.request;

import org.orioleshed.model.Fingerprint;

/** What hosts say to each other about keys, fates and content that crashes servers. */
public sealed interface RequestMessage {
    /**
     * Content crashed a server.
     *
     * @param fingerprint the content
     * @param crashes the crashes counted so far
     * @param heldMillis how long the mark still holds, in milliseconds
     */
    record PoisonSeen(Fingerprint fingerprint, int crashes, long heldMillis)
            implements RequestMessage {}
}
