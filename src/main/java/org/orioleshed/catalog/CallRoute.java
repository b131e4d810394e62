package org.orioleshed.catalog;

import java.util.List;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServiceId;

/**
 * How calls below one path prefix of one host name are served.
 *
 * @param id the operators' name of the route
 * @param host the host name that callers use
 * @param prefix the path prefix; begins and ends with a slash
 * @param repeatability what may be repeated
 * @param resumable whether a stream may go on at another server after its last event
 * @param timeoutMillis the longest time that a caller is kept waiting, in milliseconds; positive
 * @param targetMillis the time within which an answer is worth most, in milliseconds; positive
 * @param gapMillis the longest pause between events of a stream that is on time, in milliseconds; 0
 *     where none is declared
 * @param attempts the most servers that one caller's attempt may be sent to; positive
 * @param priority the rank of the route's calls, 0 first
 * @param open whether calls need no key
 * @param shares the pools that serve the route, each with its weight; not empty
 */
public record CallRoute(
        RouteId id,
        String host,
        String prefix,
        Repeatability repeatability,
        boolean resumable,
        long timeoutMillis,
        long targetMillis,
        long gapMillis,
        int attempts,
        int priority,
        boolean open,
        List<Share> shares) {
    /**
     * A pool's part of a route's calls.
     *
     * @param service the pool
     * @param weight its weight among the route's pools; not negative
     */
    public record Share(ServiceId service, int weight) {}

    /** Checks the arguments and copies the list. */
    public CallRoute {
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix must begin and end with a slash: " + prefix);
        }
        if (timeoutMillis <= 0 || targetMillis <= 0 || attempts <= 0) {
            throw new IllegalArgumentException("times and attempts must be positive: " + id);
        }
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("no service: " + id);
        }
    }

    /** Returns whether a call that a server may have begun may be sent to another one. */
    public boolean mayRunAgain() {
        return switch (repeatability) {
            case IDEMPOTENT -> true;
            case ONCE -> false;
            case STREAM -> resumable;
        };
    }

    /** Returns the pool for a draw from [0, 1). */
    public ServiceId pick(double draw) {
        long total = shares.stream().mapToLong(Share::weight).sum();
        double left = draw * total;
        for (Share share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.getLast().service();
    }
}
