package org.orioleshed.control;

import org.orioleshed.model.RolloutId;
import org.orioleshed.rollout.RolloutAction;

/**
 * What operators are told of a rollout.
 *
 * @param sequence grows by one with each notice of this host's incarnation, from one
 * @param rollout the rollout
 * @param kind what happened
 * @param epochMillis when, in milliseconds since 1970
 * @param detail a sentence
 */
public record RolloutNotice(
        long sequence,
        RolloutId rollout,
        RolloutAction.Notice.Kind kind,
        long epochMillis,
        String detail) {}
