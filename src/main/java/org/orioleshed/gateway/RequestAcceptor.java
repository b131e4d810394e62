package org.orioleshed.gateway;

import org.orioleshed.catalog.CallerLimits;

/** What callers' connections need of the gateway. */
interface RequestAcceptor {
    void opened(CallerConnection connection);

    void closed(CallerConnection connection);

    /** Returns what callers may send at present. */
    CallerLimits limits();

    /** Returns whether this host is about to stop. */
    boolean isLeaving();

    /** Makes the exchange for a request that was read whole. */
    Exchange exchange(CallerConnection connection, CallerRequest request);

    /** Notes a fault of this program while it served {@code whom}. */
    void failed(String whom, Throwable cause);

    /** Notes a request that was refused before it was read whole. */
    void refused(int status, String reason);
}
