package org.orioleshed.rollout;

/** State of a rollout. A recorded outcome never changes. */
public enum RolloutState {
    /** Recorded; no traffic on the new version yet. */
    PLANNED,
    /** Traffic is split between the versions. */
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
