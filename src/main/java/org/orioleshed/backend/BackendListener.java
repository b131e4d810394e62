package org.orioleshed.backend;

import org.orioleshed.host.HostEvent;

/** Hears what backend servers do. Called on reader threads; must not block. */
@FunctionalInterface
public interface BackendListener {
    /** Takes an event about a run, a call or a report. */
    void on(HostEvent event);
}
