package org.orioleshed.settings;

import java.util.List;
import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;

/** Events handled by {@link SettingsPropagation}. */
public sealed interface SettingsEvent {
    /** Time has passed; occurs at least every 100 ms. */
    record Tick() implements SettingsEvent {}

    /** The set of reachable entry hosts, without this one, has changed. */
    record PeersChanged(List<HostId> peers) implements SettingsEvent {
        /** Copies the list. */
        public PeersChanged {
            peers = List.copyOf(peers);
        }
    }

    /** The store returned its value; empty if it has none. */
    record StoreValueReceived(Optional<Payload> value) implements SettingsEvent {}

    /** The store reported that the value received last is still current. */
    record StoreValueUnchanged() implements SettingsEvent {}

    /** The store is unavailable. */
    record StoreUnavailable() implements SettingsEvent {}

    /** A message arrived from a peer. */
    record Received(HostId from, SettingsMessage message) implements SettingsEvent {}
}
