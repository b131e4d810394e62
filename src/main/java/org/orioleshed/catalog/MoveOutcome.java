package org.orioleshed.catalog;

/** How far a move between versions is. */
public enum MoveOutcome {
    /** Under way. */
    RUNNING,
    /** All calls go to the target, and the old servers may stop. */
    COMPLETED,
    /** All calls go to the old version, and the new servers may stop. */
    TAKEN_BACK
}
