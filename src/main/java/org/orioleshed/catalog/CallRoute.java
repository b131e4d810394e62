package org.orioleshed.catalog;

import java.util.List;
import java.util.Set;
import org.orioleshed.model.Region;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServiceId;

/**
 * The settings of a route: how calls to one path prefix of a host name are served.
 *
 * @param id the operators' name of the route
 * @param host the host name that callers use
 * @param prefix the path prefix; begins and ends with a slash
 * @param repeatability whether calls may be repeated
 * @param resumable whether another server may resume a stream after its last event
 * @param timeoutMillis the maximum time until a call is answered, in milliseconds; positive
 * @param targetMillis the target latency, within which a response is worth most, in milliseconds;
 *     positive
 * @param gapMillis the longest gap between events of a stream that is on time, in milliseconds; 0
 *     if none is declared
 * @param attempts the maximum number of servers to which one attempt of a caller is sent; positive
 * @param priority the rank of the route's calls, 0 first
 * @param open whether calls need no API key
 * @param shares the traffic split: the pools that serve the route and their weights; at least one
 *     weight is positive
 * @param allowedRegions the regions whose servers may run the route's calls; empty for all
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
        List<Share> shares,
        Set<Region> allowedRegions) {
    /**
     * A pool's share of a route's calls.
     *
     * @param service the pool
     * @param weight its weight among the route's pools; not negative
     */
    public record Share(ServiceId service, int weight) {
        /** Validates the arguments. */
        public Share {
            if (weight < 0) {
                throw new IllegalArgumentException(
                        "weight of " + service + " must not be negative, found " + weight);
            }
        }
    }

    /** Creates a route that all regions may serve. */
    public CallRoute(
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
        this(
                id,
                host,
                prefix,
                repeatability,
                resumable,
                timeoutMillis,
                targetMillis,
                gapMillis,
                attempts,
                priority,
                open,
                shares,
                Set.of());
    }

    /** Validates the arguments and copies the collections. */
    public CallRoute {
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "prefix must begin and end with a slash, found " + prefix);
        }
        if (timeoutMillis <= 0 || targetMillis <= 0 || attempts <= 0) {
            throw new IllegalArgumentException(
                    "timeoutMillis, targetMillis and attempts must be positive in route " + id);
        }
        shares = List.copyOf(shares);
        allowedRegions = Set.copyOf(allowedRegions);
        if (shares.stream().noneMatch(share -> share.weight() > 0)) {
            throw new IllegalArgumentException("no share has a weight in route " + id);
        }
    }

    /** Returns whether a call that a server may have started may be sent to another server. */
    public boolean mayRunAgain() {
        return switch (repeatability) {
            case IDEMPOTENT -> true;
            case ONCE -> false;
            case STREAM -> resumable;
        };
    }

    /**
     * Returns a pool, chosen by weight.
     *
     * @param draw a random number from [0, 1)
     */
    public ServiceId pick(double draw) {
        long totalWeight = shares.stream().mapToLong(Share::weight).sum();
        double remaining = draw * totalWeight;
        for (Share share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.getLast().service();
    }
}
