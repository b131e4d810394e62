package org.orioleshed.settings;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;

/** What can happen to the settings of a host. */
public sealed interface SettingsEvent {
    /** Time passed; comes at least every 100 ms. */
    record Tick() implements SettingsEvent {}

    /** The other entry hosts that can be reached. */
    record PeersChanged(List<HostId> peers) implements SettingsEvent {
        /** Copies the list. */
        public PeersChanged {
            peers = List.copyOf(peers);
        }
    }

    /** The store gave its value; empty when it has none. */
    record StoreSaid(Optional<Payload> value) implements SettingsEvent {}

    /** The store says that the value known is still the latest. */
    record StoreSaidSame() implements SettingsEvent {}

    /** The store can't be asked. */
    record StoreAway() implements SettingsEvent {}

    /** A message from a peer. */
    record Received(HostId from, SettingsMessage message) implements SettingsEvent {}
}
