package org.orioleshed.request;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.fleet.EvenDraws;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.VersionSplit;
import org.orioleshed.model.Request;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.request.ServerSelector.Choice;

/** Selects the version and its servers for the next offers of a model request. */
final class ServerChoices {
    private final EvenDraws draws;
    private final ServerSelector selector;
    private final PoisonWatch poison;
    private final int offersAtOnce;
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;

    /**
     * Creates an instance with an empty fleet snapshot.
     *
     * @param offersAtOnce the number of servers to select; positive
     */
    ServerChoices(
            RandomGenerator random, ServerSelector selector, PoisonWatch poison, int offersAtOnce) {
        this.draws = new EvenDraws(random);
        this.selector = selector;
        this.poison = poison;
        this.offersAtOnce = offersAtOnce;
    }

    void onFleet(FleetSnapshot changed) {
        fleet = changed;
    }

    /** Draws the version of a new request; empty for any. */
    Optional<VersionId> draw(RouteId route) {
        return fleet.version(route, draws.next(route));
    }

    /**
     * Returns the servers to offer to: of the version drawn, else of the rollout's old version,
     * else of any version if tokens were already received.
     */
    List<Choice> choose(long nowNanos, Execution execution) {
        Request request = execution.request;
        int receivedTokens = execution.transcript.tokens();
        VersionSplit split = fleet.splits().get(request.route());
        if (split != null && poison.isSuspect(nowNanos, request.fingerprint())) {
            execution.version = Optional.of(split.from());
        }
        List<Choice> choices = choicesOf(nowNanos, request, execution.version, receivedTokens);
        if (choices.isEmpty() && split != null) {
            execution.version = Optional.of(split.from());
            choices = choicesOf(nowNanos, request, execution.version, receivedTokens);
        }
        if (choices.isEmpty() && receivedTokens > 0) {
            execution.version = Optional.empty();
            choices = choicesOf(nowNanos, request, execution.version, receivedTokens);
        }
        return choices;
    }

    private List<Choice> choicesOf(
            long nowNanos, Request request, Optional<VersionId> version, int receivedTokens) {
        return selector.choices(nowNanos, request, version, receivedTokens, Set.of(), offersAtOnce);
    }

    /**
     * Moves a request to the rollout's old version if it failed on the new version before the first
     * token.
     *
     * @return whether the request was moved
     */
    boolean revertVersion(Execution execution, ServerId failedServer) {
        boolean revert = shouldRevertVersion(execution, failedServer);
        if (revert) {
            execution.version = Optional.of(fleet.splits().get(execution.request.route()).from());
        }
        return revert;
    }

    /**
     * Returns whether a failure on {@code server} moves the request to the rollout's old version.
     */
    boolean shouldRevertVersion(Execution execution, ServerId server) {
        VersionSplit split = fleet.splits().get(execution.request.route());
        BackendServer failed = fleet.servers().get(server);
        return split != null
                && failed != null
                && execution.transcript.tokens() == 0
                && failed.version().equals(split.to());
    }
}
