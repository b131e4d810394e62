package org.orioleshed.catalog;

/** How far a rollout is. */
public enum RolloutOutcome {
    /** Under way. */
    RUNNING,
    /** All calls go to the target, and the old servers may stop. */
    COMPLETED,
    /** All calls go to the old version, and the new servers may stop. */
    TAKEN_BACK
}
