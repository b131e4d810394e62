package org.orioleshed.host;

import java.util.Optional;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;

/**
 * A routing or placement decision, for the log.
 *
 * @param kind what was decided, such as {@code offer}, {@code place}, {@code preempt}, {@code shed}
 * @param run the run decided about
 * @param tier its tier
 * @param server the server chosen, if any
 * @param candidates the servers weighed with their scores, as {@code server:score} joined by commas
 * @param reason why, in one word or a few joined by hyphens
 */
public record Decision(
        String kind,
        RunId run,
        Tier tier,
        Optional<ServerId> server,
        String candidates,
        String reason) {}
