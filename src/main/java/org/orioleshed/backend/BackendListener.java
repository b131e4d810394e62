package org.orioleshed.backend;

import org.orioleshed.host.HostEvent;

/** Receives events of backend servers. Called on reader threads; must not block. */
@FunctionalInterface
public interface BackendListener {
    /** Handles an event of a run, a call or a report. */
    void on(HostEvent event);
}
