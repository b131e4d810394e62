package org.orioleshed.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;
import org.orioleshed.routing.RoutingMessage.Refused;

/** A model request on its accepting host, from the arrival of its first caller to the outcome. */
final class Execution extends KeyedRequest {
    final Transcript transcript = new Transcript();
    State state;
    Optional<VersionId> version = Optional.empty();

    /** The number of the latest attempt; 0 before the first. */
    int attempt;

    /** The directory hosts of the key that have not replied yet. */
    final Set<HostId> pendingDirectoryHosts = new HashSet<>();

    /** Whether a run of the key started by a dead host may still be on an engine. */
    boolean awaitsOrphan;

    /** The hosts that store the key's directory entry. */
    List<HostId> directoryHosts = List.of();

    /** Whether a run may have reached an engine. */
    boolean mayHaveRun;

    int failures;
    int preemptions;

    /** When the host first found no server for the request; 0 if it has found one since. */
    long noServerSinceNanos;

    /** The token offset up to which the owner may send. */
    int creditLimit;

    Execution(Request request, State state) {
        super(request);
        this.state = state;
    }

    /** Returns the run of the latest attempt. */
    RunId run() {
        return new RunId(request.id(), attempt);
    }

    @Override
    long stateTimerNanos() {
        return state.timerNanos();
    }

    @Override
    boolean provedNotRun() {
        return !mayHaveRun;
    }

    /** Returns the number of tokens consumed by the slowest caller. */
    int consumedTokens() {
        int min = Integer.MAX_VALUE;
        for (Caller caller : callers) {
            min = Math.min(min, caller.consumedTokens);
        }
        return min == Integer.MAX_VALUE ? 0 : min;
    }

    /** The state of a request. */
    sealed interface State {
        /** Returns when the state's next timer is due. */
        long timerNanos();
    }

    /** Waiting until the next round of offers. */
    record Waiting(long untilNanos) implements State {
        @Override
        public long timerNanos() {
            return untilNanos;
        }
    }

    /** Offered to owners; none has granted a slot yet. */
    static final class Offering implements State {
        final RunId run;
        final Map<ServerId, Offered> offers = new LinkedHashMap<>();
        final List<Refused> refusals = new ArrayList<>();
        final List<ServerSelector.Choice> untried;
        final Set<ServerId> tried = new HashSet<>();

        /** Whether all eligible servers have been added to {@link #untried}. */
        boolean complete;

        /** Whether an owner died before it answered its offer. */
        boolean ownerLost;

        long repeatNanos;
        long repeatDelayNanos;
        long widenNanos;

        Offering(RunId run, List<ServerSelector.Choice> candidates) {
            this.run = run;
            this.untried = new ArrayList<>(candidates);
        }

        @Override
        public long timerNanos() {
            return Math.min(
                    repeatNanos, untried.isEmpty() && complete ? Long.MAX_VALUE : widenNanos);
        }
    }

    /** An offer and the owner that it was sent to. */
    record Offered(HostId owner) {}

    /** Placed on a server by its owner. */
    static final class Running implements State {
        final RunId run;
        final ServerId server;
        final HostId owner;
        final long ownerIncarnation;

        /** Whether an earlier run may have reached an engine. */
        final boolean ranBefore;

        /** When to probe a silent owner for whether it has the run. */
        long probeNanos = Long.MAX_VALUE;

        long probeDelayNanos;

        /** Whether the body was sent twice, in which case an engine may reject the second one. */
        boolean bodyResent;

        /** Whether a token of this run was received. */
        boolean tokensReceived;

        long silenceDeadlineNanos;
        long gapDeadlineNanos = Long.MAX_VALUE;
        OptionalInt totalTokens = OptionalInt.empty();

        Running(
                RunId run,
                ServerId server,
                HostId owner,
                long ownerIncarnation,
                boolean ranBefore) {
            this.run = run;
            this.server = server;
            this.owner = owner;
            this.ownerIncarnation = ownerIncarnation;
            this.ranBefore = ranBefore;
        }

        @Override
        public long timerNanos() {
            return Math.min(probeNanos, Math.min(silenceDeadlineNanos, gapDeadlineNanos));
        }
    }

    /** Cancelling a run; the next attempt waits for confirmation that the run has ended. */
    record Cancelling(RunId run, ServerId server) implements State {
        @Override
        public long timerNanos() {
            return Long.MAX_VALUE;
        }
    }

    /** Waiting for the outcome of the same key on another host. */
    record Relaying(RequestId holder, long pollNanos) implements State {
        @Override
        public long timerNanos() {
            return pollNanos;
        }
    }
}
