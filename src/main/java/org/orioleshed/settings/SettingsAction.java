package org.orioleshed.settings;

import org.orioleshed.model.HostId;

/** What the spread of settings wants done. */
public sealed interface SettingsAction {
    /** Send a message to a peer. */
    record Send(HostId to, SettingsMessage message) implements SettingsAction {}

    /** A revision came into force. */
    record Adopt(long number, String changeId, SettingsTree tree) implements SettingsAction {}

    /** Operators must hear of this: settings were refused. */
    record Alarm(String detail) implements SettingsAction {}

    /** A peer told how it stands. */
    record Told(HostId from, long ticket, SettingsStatus status) implements SettingsAction {}
}
