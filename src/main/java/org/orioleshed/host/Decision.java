package org.orioleshed.host;

import java.util.Optional;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;

/**
 * A routing or placement decision, to be logged.
 *
 * @param kind the kind of decision, such as {@code offer}, {@code place}, {@code preempt}, {@code
 *     shed}
 * @param run the run that the decision is about
 * @param tier the run's tier
 * @param server the server chosen, if any
 * @param candidates the servers considered, with their scores, as {@code server:score} joined by
 *     commas
 * @param reason the reason, as one or more words joined by hyphens
 */
public record Decision(
        String kind,
        RunId run,
        Tier tier,
        Optional<ServerId> server,
        String candidates,
        String reason) {}
