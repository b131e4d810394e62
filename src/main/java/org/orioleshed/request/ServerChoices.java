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
import org.orioleshed.request.Placement.Choice;

/** Chooses the version, and among its servers, for the next offers of a model request. */
final class ServerChoices {
    private final EvenDraws draws;
    private final Placement placement;
    private final PoisonWatch poison;
    private final int offersAtOnce;
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;

    /**
     * Makes one that knows no servers.
     *
     * @param offersAtOnce how many servers are chosen; positive
     */
    ServerChoices(
            RandomGenerator random, Placement placement, PoisonWatch poison, int offersAtOnce) {
        this.draws = new EvenDraws(random);
        this.placement = placement;
        this.poison = poison;
        this.offersAtOnce = offersAtOnce;
    }

    void onFleet(FleetSnapshot changed) {
        fleet = changed;
    }

    /** Draws the version of a new request; empty where any will do. */
    Optional<VersionId> draw(RouteId route) {
        return fleet.version(route, draws.next(route));
    }

    /** Returns where to offer: the version drawn, else the version that a move leaves, else any. */
    List<Choice> choose(long nowNanos, Execution execution) {
        Request request = execution.request;
        int known = execution.transcript.tokens();
        VersionSplit split = fleet.splits().get(request.route());
        if (split != null && poison.isSuspect(nowNanos, request.fingerprint())) {
            execution.version = Optional.of(split.from());
        }
        List<Choice> choices = of(nowNanos, request, execution.version, known);
        if (choices.isEmpty() && split != null) {
            execution.version = Optional.of(split.from());
            choices = of(nowNanos, request, execution.version, known);
        }
        if (choices.isEmpty() && known > 0) {
            execution.version = Optional.empty();
            choices = of(nowNanos, request, execution.version, known);
        }
        return choices;
    }

    private List<Choice> of(
            long nowNanos, Request request, Optional<VersionId> version, int known) {
        return placement.choices(nowNanos, request, version, known, Set.of(), offersAtOnce);
    }

    /**
     * Sends a request back to the version that a move leaves, where it failed at the new one before
     * any token.
     *
     * @return whether it goes back
     */
    boolean leaveNewVersion(Execution execution, ServerId failedServer) {
        boolean leaves = leavesNewVersion(execution, failedServer);
        if (leaves) {
            execution.version = Optional.of(fleet.splits().get(execution.request.route()).from());
        }
        return leaves;
    }

    /** Returns whether a failure at {@code server}, before any token, sends the request back. */
    boolean leavesNewVersion(Execution execution, ServerId server) {
        VersionSplit split = fleet.splits().get(execution.request.route());
        BackendServer failed = fleet.servers().get(server);
        return split != null
                && failed != null
                && execution.transcript.tokens() == 0
                && failed.version().equals(split.to());
    }
}
