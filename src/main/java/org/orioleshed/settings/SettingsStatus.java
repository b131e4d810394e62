package org.orioleshed.settings;

/**
 * The settings status of one host.
 *
 * @param number the active revision; zero if there is none
 * @param changeId the id of the change that created it; empty if there is none
 * @param unconfirmed whether the store has not answered this host since its start
 * @param storeUnavailableMillis for how long the store has been unavailable to this host, in
 *     milliseconds; zero if it is available
 */
public record SettingsStatus(
        long number, String changeId, boolean unconfirmed, long storeUnavailableMillis) {}
