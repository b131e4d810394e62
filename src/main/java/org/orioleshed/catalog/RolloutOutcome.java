package org.orioleshed.catalog;

/** The state of a rollout. */
public enum RolloutOutcome {
    /** In progress. */
    RUNNING,
    /** All calls go to the target version; servers of the old version may stop. */
    COMPLETED,
    /** Rolled back: all calls go to the old version; servers of the target version may stop. */
    TAKEN_BACK
}
