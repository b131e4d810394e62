package org.orioleshed.load;

import java.util.List;

/** What an experiment does at a moment, given as a share of its length, from 0 to 1. */
sealed interface Step {
    /** Returns the moment. */
    double at();

    /**
     * Sets the faults of engines.
     *
     * @param engines the engines' places in the layout
     * @param faults the JSON for the stand-ins; {@code {}} for none
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
     * Something that the script does to processes of entry hosts.
     *
     * @param action {@code kill}, {@code start} or {@code restart}: ask to stop, wait, start again
     * @param host the host's place in the layout; negative for all, one after another
     */
    record Processes(double at, String action, int host) implements Step {}

    /**
     * Operators change settings.
     *
     * @param until when they stop, as a share of the length
     * @param operators how many there are
     */
    record Operators(double at, double until, int operators) implements Step {}

    /**
     * A move to the new version is planned.
     *
     * @param completeBy when it must be completed, as a share of the length
     */
    record Rollout(double at, double completeBy) implements Step {}
}
