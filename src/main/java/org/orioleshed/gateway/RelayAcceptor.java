package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.orioleshed.catalog.CallerLimits;

/** Accepts the requests that other hosts forward; everything else is the gateway's. */
final class RelayAcceptor implements RequestAcceptor {
    /** A relay accepts this much more than callers may send, for the fields that hosts add. */
    private static final int EXTRA_HEADER_BYTES = 512;

    /**
     * For how long other hosts may leave a connection idle. Longer than they use one, and the same
     * on all hosts, whatever the callers' limit is.
     */
    private static final long IDLE_TIMEOUT_MILLIS = 15_000;

    private final RequestAcceptor gateway;
    private final GatewayContext context;

    RelayAcceptor(RequestAcceptor gateway, GatewayContext context) {
        this.gateway = gateway;
        this.context = context;
    }

    @Override
    public Exchange exchange(CallerConnection connection, CallerRequest request) {
        return Exchange.forwardedHere(
                context, connection, request, context.translator().forwarded(request.headers()));
    }

    @Override
    public boolean opened(CallerConnection connection) {
        return gateway.opened(connection);
    }

    /** A forwarded request never waits: the relay's limit bounds how many are served at once. */
    @Override
    public Optional<StartQueue.PendingStart> hold(
            CallerConnection connection, CallerRequest request) {
        return Optional.empty();
    }

    @Override
    public void withdraw(StartQueue.PendingStart pending) {
        gateway.withdraw(pending);
    }

    @Override
    public void refuse(StartQueue.PendingStart pending) {
        gateway.refuse(pending);
    }

    @Override
    public void markRejected(HttpHeaders headers) {
        context.forwarding().markNotRun(headers, "rejected", false);
    }

    @Override
    public CallerBuffers buffers() {
        return gateway.buffers();
    }

    @Override
    public void closed(CallerConnection connection) {
        gateway.closed(connection);
    }

    /** Returns the callers' limits, with longer heads and an idle timeout of their own. */
    @Override
    public CallerLimits limits() {
        CallerLimits callers = gateway.limits();
        return new CallerLimits(
                callers.maxHeaderBytes() + EXTRA_HEADER_BYTES,
                callers.maxBodyBytes(),
                callers.headerTimeoutMillis(),
                IDLE_TIMEOUT_MILLIS);
    }

    @Override
    public long limitChangeMillis() {
        return gateway.limitChangeMillis();
    }

    @Override
    public boolean isLeaving() {
        return gateway.isLeaving();
    }

    @Override
    public void failed(String connection, Throwable cause) {
        gateway.failed(connection, cause);
    }

    @Override
    public void closing(CloseReason reason, String details) {
        gateway.closing(reason, details + " listener=relay");
    }

    @Override
    public void rejected(int status, String reason) {
        gateway.rejected(status, reason);
    }
}
