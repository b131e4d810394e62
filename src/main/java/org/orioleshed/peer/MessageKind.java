package org.orioleshed.peer;

/** The families of messages between entry hosts; each has its own {@link MessageCodec}. */
public enum MessageKind {
    /** {@link org.orioleshed.routing.RoutingMessage}. */
    ROUTING,
    /** {@link org.orioleshed.request.RequestMessage}. */
    REQUEST,
    /** Heartbeats and the membership view. */
    MEMBERSHIP,
    /** Settings and their revisions. */
    SETTINGS,
    /** Evidence and circuit breakers of rollouts. */
    MOVE,
    /** {@link org.orioleshed.dispatch.DispatchMessage}. */
    DISPATCH,
    /** {@link org.orioleshed.gateway.CatalogUpdate}. */
    CATALOG
}
