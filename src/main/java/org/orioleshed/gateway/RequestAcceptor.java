package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.orioleshed.catalog.CallerLimits;

/** The gateway as seen by callers' connections. */
interface RequestAcceptor {
    /** Records a new connection; returns whether its input may have waited long. */
    boolean opened(CallerConnection connection);

    void closed(CallerConnection connection);

    /** Returns the current limits on callers' requests and connections. */
    CallerLimits limits();

    /** Returns the time within which changed limits are in force everywhere, in milliseconds. */
    long limitChangeMillis();

    /** Returns whether this host is stopping. */
    boolean isLeaving();

    /**
     * Returns the handle of a request that must wait as this host is late; empty if it must not.
     */
    Optional<StartQueue.PendingStart> hold(CallerConnection connection, CallerRequest request);

    /** Removes a waiting request, whose caller disconnected. */
    void withdraw(StartQueue.PendingStart pending);

    /** Refuses a waiting request, as this host stops serving. */
    void refuse(StartQueue.PendingStart pending);

    /** Returns what this host buffers for callers. */
    CallerBuffers buffers();

    /** Adds what the sender needs to know of a request that was rejected before it was read. */
    void markRejected(HttpHeaders headers);

    /** Creates the exchange for a request that was read whole. */
    Exchange exchange(CallerConnection connection, CallerRequest request);

    /** Records an internal fault; {@code context} names the work in which it occurred. */
    void failed(String context, Throwable cause);

    /** Records that this host closes a connection on which no response is due. */
    void closing(CloseReason reason, String details);

    /** Records a request that was rejected before it was read whole. */
    void rejected(int status, String reason);
}
