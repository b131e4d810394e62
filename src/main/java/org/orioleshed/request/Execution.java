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

/** A model request on its accepting host, from the first caller's arrival to the outcome. */
final class Execution extends KeyedRequest {
    final Transcript transcript = new Transcript();
    State state;
    Optional<VersionId> version = Optional.empty();

    /** The number of the latest attempt; zero before the first. */
    int attempt;

    /** The hosts of the key's directory that were asked and have not answered yet. */
    final Set<HostId> asked = new HashSet<>();

    /** Whether a dead host may have left a run of the key on an engine. */
    boolean awaitsOrphan;

    /** The hosts that keep the key's entry in the directory. */
    List<HostId> directories = List.of();

    /** Whether a run may have reached an engine. */
    boolean mayHaveRun;

    int failures;
    int preemptions;

    /** When the host first found no server for the request; zero when it found one. */
    long noServerSinceNanos;

    /** The offset up to which the owner may send tokens. */
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
    long stateWakeNanos() {
        return state.wakeNanos();
    }

    @Override
    boolean provedNotRun() {
        return !mayHaveRun;
    }

    /** Returns how many tokens the slowest caller took. */
    int takenTokens() {
        int least = Integer.MAX_VALUE;
        for (Caller caller : callers) {
            least = Math.min(least, caller.taken);
        }
        return least == Integer.MAX_VALUE ? 0 : least;
    }

    /** Where a request is in its life. */
    sealed interface State {
        /** Returns when the state has something to do by itself. */
        long wakeNanos();
    }

    /** Waits before the next round of offers. */
    record Waiting(long untilNanos) implements State {
        @Override
        public long wakeNanos() {
            return untilNanos;
        }
    }

    /** Offered to owners, no grant yet. */
    static final class Offering implements State {
        final RunId run;
        final Map<ServerId, Offered> offers = new LinkedHashMap<>();
        final List<Refused> refusals = new ArrayList<>();
        final List<Placement.Choice> untried;
        final Set<ServerId> tried = new HashSet<>();

        /** Whether {@link #untried} holds all servers not tried yet. */
        boolean complete;

        long repeatNanos;
        long repeatDelayNanos;
        long widenNanos;

        Offering(RunId run, List<Placement.Choice> candidates) {
            this.run = run;
            this.untried = new ArrayList<>(candidates);
        }

        @Override
        public long wakeNanos() {
            return Math.min(
                    repeatNanos, untried.isEmpty() && complete ? Long.MAX_VALUE : widenNanos);
        }
    }

    /** One offer and the owner that it went to. */
    record Offered(HostId owner) {}

    /** Placed on a server by its owner. */
    static final class Running implements State {
        final RunId run;
        final ServerId server;
        final HostId owner;
        final long ownerIncarnation;

        /** Whether an earlier run may have reached an engine. */
        final boolean ranBefore;

        /** When to ask the owner whether it has the run, as it stays silent. */
        long probeNanos = Long.MAX_VALUE;

        long probeDelayNanos;

        /** Whether the body was sent twice, so that an engine may refuse the second. */
        boolean placedAgain;

        /** Whether a token of this run came. */
        boolean heard;

        long silentAtNanos;
        long gapEndsNanos = Long.MAX_VALUE;
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
        public long wakeNanos() {
            return Math.min(probeNanos, Math.min(silentAtNanos, gapEndsNanos));
        }
    }

    /** Its run is being cancelled; the next attempt waits for the proof that it is over. */
    record Ending(RunId run, ServerId server) implements State {
        @Override
        public long wakeNanos() {
            return Long.MAX_VALUE;
        }
    }

    /** The key runs on another host, whose outcome is taken over when it is known. */
    record Relaying(RequestId holder, long askAgainNanos) implements State {
        @Override
        public long wakeNanos() {
            return askAgainNanos;
        }
    }
}
