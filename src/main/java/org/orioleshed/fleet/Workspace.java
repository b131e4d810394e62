package org.orioleshed.fleet;

import java.util.Map;
import java.util.Optional;
import org.orioleshed.model.Tier;
import org.orioleshed.model.WorkspaceId;

/**
 * A customer's share of the system, as the settings state it.
 *
 * @param id the workspace
 * @param keyHashes SHA-256 of each bearer key, in lower-case hexadecimal
 * @param weight the workspace's share against others in the same tier, positive
 * @param tiers for each tier that the workspace may use, the longest deadline that it may ask for,
 *     in milliseconds
 * @param defaultTier the tier of a request that names none
 * @param maxWaiting the most requests that may wait or run on one entry host
 * @param maxOutputTokens the most tokens that one request may ask for
 * @param patience the window for patient work; empty when it may run all day
 */
public record Workspace(
        WorkspaceId id,
        java.util.List<String> keyHashes,
        int weight,
        Map<Tier, Long> tiers,
        Tier defaultTier,
        int maxWaiting,
        int maxOutputTokens,
        Optional<PatienceWindow> patience) {
    /** Copies the collections. */
    public Workspace {
        keyHashes = java.util.List.copyOf(keyHashes);
        tiers = Map.copyOf(tiers);
    }
}
