package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.Quota;
import org.orioleshed.catalog.Repeatability;
import org.orioleshed.catalog.WorkspaceConfig;
import org.orioleshed.dispatch.PlacementRequest;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.quarantine.RequestContent;

/** A caller's request with what the configuration in force at its start says about it. */
final class RoutedRequest {
    private final GatewayContext context;
    private final CallerRequest request;
    private final CallHeaders headers;
    private final CallRoute route;
    private final Optional<WorkspaceConfig> workspaceConfig;
    private final ServiceId service;
    private final long endNanos;
    private final Optional<Set<FailureDomain>> allowedDomains;
    private final RequestContent content;

    /**
     * Chooses the service that serves the request.
     *
     * @param workspaceConfig the holder of the request's key; empty on a route that needs no key
     */
    RoutedRequest(
            GatewayContext context,
            CallerRequest request,
            CallHeaders headers,
            CallRoute route,
            Optional<WorkspaceConfig> workspaceConfig) {
        this.context = context;
        this.request = request;
        this.headers = headers;
        this.route = route;
        this.workspaceConfig = workspaceConfig;
        this.service = route.pick(context.random().nextDouble());
        this.endNanos = request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis());
        this.allowedDomains =
                context.regionRule()
                        .allowed(
                                route.allowedRegions(),
                                workspaceConfig
                                        .map(WorkspaceConfig::allowedRegions)
                                        .orElse(Set.of()));
        this.content =
                new RequestContent(
                        request.fingerprint(headers.key().orElse("")),
                        Set.copyOf(headers.sharedParts()));
    }

    private long waitMillis() {
        return headers.deadlineMillis() < 0
                ? route.timeoutMillis()
                : Math.min(route.timeoutMillis(), headers.deadlineMillis());
    }

    CallRoute route() {
        return route;
    }

    ServiceId service() {
        return service;
    }

    RequestContent content() {
        return content;
    }

    /** Returns the workspace whose key the request bears; empty if it needs none. */
    Optional<WorkspaceId> workspace() {
        return workspaceConfig.map(WorkspaceConfig::workspace);
    }

    /** Returns whether the response is a stream of events. */
    boolean isStream() {
        return route.repeatability() == Repeatability.STREAM;
    }

    /** Returns the rank of the request; 0 is the most urgent. */
    int rank() {
        return PlacementRequest.rank(
                workspaceConfig.flatMap(WorkspaceConfig::priority).orElse(0), route.priority());
    }

    /** Returns whether the time of the request is over. */
    boolean isOver(long nowNanos) {
        return nowNanos - endNanos >= 0;
    }

    /** Returns the time left until the caller's deadline, in milliseconds. */
    long callerRemainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos);
    }

    /**
     * Returns the time left until the caller's deadline or the end of this host's service, in
     * milliseconds.
     */
    long remainingMillis(long nowNanos) {
        return Math.min(
                callerRemainingMillis(nowNanos), context.shutdownPolicy().leftMillis(nowNanos));
    }

    /** Returns whether the request's body may be sent to a host of a failure domain. */
    boolean mayReceiveBody(FailureDomain host) {
        return context.regionRule().mayReceiveBody(allowedDomains, host);
    }

    /** Returns whether servers of a failure domain may run the request. */
    boolean mayRunIn(FailureDomain domain) {
        return allowedDomains.map(allowed -> allowed.contains(domain)).orElse(true);
    }

    /**
     * Returns the request for a slot.
     *
     * @param charged whether the request is already charged to its workspace's quota
     * @param tried the servers that must not be chosen, beside those that this host must avoid
     */
    PlacementRequest placementRequest(boolean charged, Set<ServerId> tried) {
        long nowNanos = System.nanoTime();
        return new PlacementRequest(
                service,
                route.id(),
                charged ? Optional.empty() : workspace(),
                context.domain(),
                rank(),
                route.targetMillis() - request.ageMillis(nowNanos),
                remainingMillis(nowNanos),
                isStream() ? Math.max(1, headers.promptTokens()) : 0,
                isStream() ? headers.likelyTokens() : 0,
                workspaceConfig
                        .map(WorkspaceConfig::quota)
                        .orElse(Quota.NONE)
                        .units(headers.statedTokens()),
                content,
                excluding(tried),
                allowedDomains);
    }

    /** Returns the servers already tried and those to which this host must send nothing now. */
    private Set<ServerId> excluding(Set<ServerId> tried) {
        Set<ServerId> avoided = context.dispatcher().avoided(service);
        Set<ServerId> unreachable = context.forwarding().unreachable(service);
        if (avoided.isEmpty() && unreachable.isEmpty()) {
            return tried;
        }
        Set<ServerId> all = new HashSet<>(tried);
        all.addAll(avoided);
        all.addAll(unreachable);
        return all;
    }

    /**
     * Returns the header fields for a server.
     *
     * @param lastEvent the id of the event after which the server is to go on
     */
    HttpHeaders headersForServer(ServerId server, Optional<String> lastEvent) {
        return context.translator()
                .toServer(
                        request.headers(),
                        new HeaderTranslator.ForwardingFields(
                                server, workspace(), statedMillis(), lastEvent));
    }

    /** Returns the header fields for another host, which is to send the request on. */
    HttpHeaders headersForRelay(ForwardedRequest statement, Optional<String> lastEvent) {
        return context.translator()
                .toRelay(request.headers(), statement, statedMillis(), lastEvent);
    }

    /** Returns the deadline that is stated to a server, in milliseconds. */
    private long statedMillis() {
        return Math.max(1, callerRemainingMillis(System.nanoTime()));
    }
}
