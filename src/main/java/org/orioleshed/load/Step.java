package org.orioleshed.load;

import java.util.List;

/** A step of a scenario, with its start as a share of the experiment's duration from 0 to 1. */
sealed interface Step {
    /** Returns the start as a share of the duration. */
    double at();

    /**
     * Sets the faults of engines.
     *
     * @param engines the indexes of the engines in the layout
     * @param faults the faults as JSON of the stand-ins; {@code {}} for none
     */
    record EngineFaults(double at, List<Integer> engines, String faults) implements Step {
        /** Copies the list. */
        public EngineFaults {
            engines = List.copyOf(engines);
        }
    }

    /** Sets the faults of the store. */
    record StoreFaults(double at, String faults) implements Step {}

    /**
     * An action on the processes of entry hosts, executed by the script.
     *
     * @param action {@code kill}, {@code start} or {@code restart} (stop gracefully, wait, start)
     * @param host the index of the host in the layout; negative for all hosts in turn
     */
    record Processes(double at, String action, int host) implements Step {}

    /**
     * Concurrent changes of settings by operators.
     *
     * @param until the end as a share of the duration
     * @param operators the number of operators
     */
    record Operators(double at, double until, int operators) implements Step {}

    /**
     * A rollout of the new version.
     *
     * @param completeBy the time by which it must be completed, as a share of the duration
     */
    record Rollout(double at, double completeBy) implements Step {}
}
