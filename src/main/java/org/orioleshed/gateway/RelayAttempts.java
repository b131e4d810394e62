package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.RunReport;
import org.orioleshed.membership.Member;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;

/** The relays to which one caller's request was sent, and the host that forwarded it here. */
final class RelayAttempts {
    /** A request that one relay refused is sent to one more. */
    private static final int MAX_REFUSALS = 2;

    private static final VersionId RELAY_VERSION = new VersionId("relay");

    private final Forwarding forwarding;
    private final boolean atRelay;
    private final Optional<ForwardedRequest> origin;
    private final Set<HostId> tried = new HashSet<>();
    private final Map<ServerId, Member> relays = new HashMap<>();
    private final Set<ServerId> running = new HashSet<>();
    private int refusals;
    private boolean accepted;

    /**
     * Creates the record of a request.
     *
     * @param atRelay whether the request arrived at the listener for forwarded requests
     * @param origin what the forwarding host stated there; empty if it stated nothing
     */
    RelayAttempts(Forwarding forwarding, boolean atRelay, Optional<ForwardedRequest> origin) {
        this.forwarding = forwarding;
        this.atRelay = atRelay;
        this.origin = origin;
    }

    /** Returns whether another host forwarded the request to this one. */
    boolean isForwardedHere() {
        return atRelay;
    }

    /** Returns whether the request was charged to a quota before it arrived here. */
    boolean isCharged() {
        return origin.isPresent() && origin.get().charged();
    }

    /** Returns the statement for the current relay. */
    ForwardedRequest statement(boolean charged) {
        return new ForwardedRequest(forwarding.self(), charged);
    }

    /** Returns whether this host accepts the request: always, if it is of its own caller. */
    boolean accept() {
        accepted = atRelay && origin.isPresent() && forwarding.tryAccept();
        return accepted || !atRelay;
    }

    /** Returns whether this host is a relay that can't reach the pool itself. */
    boolean mustRefuse(ServiceId service) {
        return atRelay && forwarding.mustForward(service);
    }

    /**
     * Returns the relay for the request, in the form of a server; empty if this host places it. A
     * relay never forwards a request again.
     *
     * @param mayReceiveBody whether the body may be sent to a host of a failure domain
     */
    Optional<PoolServer> next(ServiceId service, Predicate<FailureDomain> mayReceiveBody) {
        if (atRelay || !forwarding.mustForward(service)) {
            return Optional.empty();
        }
        return forwarding
                .chooseRelay(service, tried, mayReceiveBody)
                .map(
                        member -> {
                            PoolServer server = asServer(member, service);
                            relays.put(server.id(), member);
                            return server;
                        });
    }

    private static PoolServer asServer(Member member, ServiceId service) {
        return new PoolServer(
                new ServerId("relay-" + member.id().value()),
                service,
                Forwarding.relayAddress(member),
                member.domain(),
                RELAY_VERSION,
                1,
                false,
                0);
    }

    /** Returns whether the request was refused by as many relays as it may be sent to. */
    boolean isRefused() {
        return refusals >= MAX_REFUSALS;
    }

    /** Returns whether the request must be forwarded, but all relays were tried. */
    boolean isExhausted(ServiceId service, Predicate<FailureDomain> mayReceiveBody) {
        return !atRelay
                && !tried.isEmpty()
                && forwarding.mustForward(service)
                && forwarding.chooseRelay(service, tried, mayReceiveBody).isEmpty();
    }

    boolean isRelay(PoolServer server) {
        return relays.containsKey(server.id());
    }

    /** Records that the request was sent to a server, which may be a relay. */
    void sent(PoolServer server) {
        Member relay = relays.get(server.id());
        if (relay != null) {
            running.add(server.id());
            tried.add(relay.id());
            forwarding.sent(relay);
        }
    }

    /** Records the end of the attempt at a server, which may be a relay. */
    void ended(PoolServer server) {
        ended(server.id());
    }

    private void ended(ServerId server) {
        if (running.remove(server)) {
            forwarding.ended(relays.get(server));
        }
    }

    /** Records that a relay did not run the request, and returns why. */
    RelayRefusal refused(ServerAttempt attempt, RunReport.Outcome outcome) {
        refusals++;
        RelayRefusal refusal =
                outcome == RunReport.Outcome.UNREACHABLE
                        ? RelayRefusal.UNSTATED
                        : forwarding.refusal(attempt.headers());
        forwarding.refused(relays.get(attempt.server().id()), attempt.server().service(), refusal);
        return refusal;
    }

    /** Marks a response of this host's own as "not run" for the forwarding host. */
    void markNotRun(HttpHeaders headers, String reason, boolean charged) {
        if (atRelay) {
            forwarding.markNotRun(headers, reason, charged);
        }
    }

    /** Records the end of the request. */
    void finished() {
        Set.copyOf(running).forEach(this::ended);
        if (accepted) {
            accepted = false;
            forwarding.acceptedEnded();
        }
    }
}
