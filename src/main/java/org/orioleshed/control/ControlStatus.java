package org.orioleshed.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.model.HostId;
import org.orioleshed.settings.SettingsStatus;

/**
 * How the fleet stands with the settings, seen from one host.
 *
 * @param self the host that asked
 * @param own how it stands itself
 * @param hosts every host of its view, itself included
 */
public record ControlStatus(HostId self, SettingsStatus own, List<HostStatus> hosts) {
    /** Copies the list. */
    public ControlStatus {
        hosts = List.copyOf(hosts);
    }

    /**
     * How one host stands.
     *
     * @param host the host
     * @param settings its word; empty when it did not answer
     */
    public record HostStatus(EntryHost host, Optional<SettingsStatus> settings) {}

    /** Returns the hosts that did not say that this host's revision is in force there. */
    public List<HostId> missing() {
        List<HostId> missing = new ArrayList<>();
        for (HostStatus status : hosts) {
            boolean same =
                    status.settings().filter(told -> told.number() >= own.number()).isPresent();
            if (!same) {
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
