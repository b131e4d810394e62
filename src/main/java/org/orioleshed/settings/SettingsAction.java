package org.orioleshed.settings;

import org.orioleshed.model.HostId;

/** Outputs of {@link SettingsPropagation}. */
public sealed interface SettingsAction {
    /** Send a message to a peer. */
    record Send(HostId to, SettingsMessage message) implements SettingsAction {}

    /** A revision has become active. */
    record Adopt(long number, String changeId, SettingsTree tree) implements SettingsAction {}

    /** Alert operators to a fault, such as rejected settings. */
    record Alarm(String detail) implements SettingsAction {}

    /** A peer reported its settings status. */
    record StatusReceived(HostId from, long ticket, SettingsStatus status)
            implements SettingsAction {}
}
