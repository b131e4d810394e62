package org.orioleshed.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.model.Tier;
import org.orioleshed.model.WorkspaceId;

/**
 * A customer's access to the system, as defined in the settings.
 *
 * @param id the workspace
 * @param keyHashes the SHA-256 of each bearer key, in lower-case hexadecimal
 * @param weight the workspace's weight relative to others in the same tier, positive
 * @param tiers the tiers that the workspace may use, each with the longest deadline allowed, in
 *     milliseconds
 * @param defaultTier the tier of a request that specifies none
 * @param maxWaiting the maximum number of requests waiting or running on one entry host
 * @param maxOutputTokens the maximum number of output tokens per request
 * @param patience the window for work of the patient tier; empty if it may run all day
 */
public record Workspace(
        WorkspaceId id,
        List<String> keyHashes,
        int weight,
        Map<Tier, Long> tiers,
        Tier defaultTier,
        int maxWaiting,
        int maxOutputTokens,
        Optional<PatienceWindow> patience) {
    /** Copies the collections. */
    public Workspace {
        keyHashes = List.copyOf(keyHashes);
        tiers = Map.copyOf(tiers);
    }
}
