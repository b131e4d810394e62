package org.orioleshed.gateway;

import java.util.Locale;

/** Why this host closes a caller's connection on which no response is due. */
enum CloseReason {
    /** No request was received for longer than a caller may leave a connection idle. */
    IDLE,

    /** The caller did not read its last response for as long as it may be idle. */
    UNREAD_RESPONSE,

    /** The host is stopping. */
    STOPPING;

    /** Returns the name for log lines and metrics. */
    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
