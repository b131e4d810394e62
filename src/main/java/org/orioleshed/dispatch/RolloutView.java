package org.orioleshed.dispatch;

import java.util.function.Supplier;
import org.orioleshed.catalog.RolloutOrder;
import org.orioleshed.catalog.RolloutOutcome;

/**
 * The state of a rollout.
 *
 * @param order the order
 * @param outcome the outcome so far
 * @param step the traffic step that the new version has reached; -1 until it is proved
 * @param evidence formats the evidence for the log
 */
public record RolloutView(
        RolloutOrder order, RolloutOutcome outcome, int step, Supplier<String> evidence) {}
