package org.orioleshed.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.model.HostId;
import org.orioleshed.settings.SettingsStatus;

/**
 * The settings status of every host, as collected by one host.
 *
 * @param self the host that collected the status
 * @param own its own status
 * @param hosts the status of every host of its membership view, itself included
 */
public record ControlStatus(HostId self, SettingsStatus own, List<HostStatus> hosts) {
    /** Copies the list. */
    public ControlStatus {
        hosts = List.copyOf(hosts);
    }

    /**
     * The settings status of one host.
     *
     * @param host the host
     * @param settings its status; empty if it did not answer
     */
    public record HostStatus(EntryHost host, Optional<SettingsStatus> settings) {}

    /** Returns the hosts that did not report this host's revision, or a later one, as in force. */
    public List<HostId> missing() {
        List<HostId> missing = new ArrayList<>();
        for (HostStatus status : hosts) {
            boolean inForce =
                    status.settings().filter(other -> other.number() >= own.number()).isPresent();
            if (!inForce) {
                missing.add(status.host().id());
            }
        }
        return missing;
    }

    /** Returns whether this host's revision, or a later one, is in force on every host. */
    public boolean inForceEverywhere() {
        return own.number() > 0 && missing().isEmpty();
    }
}
