package org.orioleshed.control;

import org.orioleshed.model.RolloutId;
import org.orioleshed.rollout.RolloutAction;

/**
 * A notice to operators about a rollout.
 *
 * @param sequence the notice's number within this host's incarnation, from one
 * @param rollout the rollout
 * @param kind what happened
 * @param epochMillis when it happened, in milliseconds since 1970
 * @param detail a description for operators
 */
public record RolloutNotice(
        long sequence,
        RolloutId rollout,
        RolloutAction.Notice.Kind kind,
        long epochMillis,
        String detail) {}
