package org.orioleshed.rollout;

/** Where a rollout stands. Once an outcome is recorded, it never changes. */
public enum RolloutState {
    /** Recorded, no traffic on the new version yet. */
    PLANNED,
    /** Traffic is moving. */
    RUNNING,
    /** Outcome: all traffic is on the new version. */
    COMPLETED,
    /** Outcome: all traffic is on the old version. */
    TAKEN_BACK;

    /** Returns whether this is an outcome. */
    public boolean isOutcome() {
        return this == COMPLETED || this == TAKEN_BACK;
    }
}
