package org.orioleshed.settings;

/**
 * How one host stands with the settings.
 *
 * @param number the revision in force; zero when there is none
 * @param changeId the change that made it; empty when there is none
 * @param unconfirmed whether the host could not yet ask the store since its start
 * @param storeAwayMillis for how long the store has been away from this host; zero when it is not
 */
public record SettingsStatus(
        long number, String changeId, boolean unconfirmed, long storeAwayMillis) {}
