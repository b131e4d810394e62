package org.orioleshed.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.Pool;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.catalog.StatedWarmup;
import org.orioleshed.dispatch.DispatchEvent;
import org.orioleshed.model.ServerId;

/**
 * When this host first saw what each server's entry states of its warm-up. A statement counts from
 * then on, however often the catalog is replayed and whichever scheduler it is replayed to.
 */
final class WarmupRecord {
    private static final int MAX_SERVERS = 8_192;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<ServerId, Seen> seen = new LinkedHashMap<>();
    private boolean hasList;

    /**
     * A statement.
     *
     * @param startMillis the start of the server
     * @param stated what the entry states
     * @param assumed whether the server is taken for cold as it has just started
     * @param nanos when this host first saw the statement, on the monotonic clock
     */
    private record Seen(long startMillis, StatedWarmup stated, boolean assumed, long nanos) {}

    /** Takes the servers in force. */
    void update(List<PoolServer> servers, long nowNanos) {
        servers.forEach(server -> update(server, nowNanos));
        hasList |= !servers.isEmpty();
        while (seen.size() > MAX_SERVERS) {
            seen.remove(seen.keySet().iterator().next());
        }
    }

    private void update(PoolServer server, long nowNanos) {
        Seen before = seen.get(server.id());
        boolean sameStart = before != null && before.startMillis() == server.startMillis();
        if (sameStart && (!server.warmup().isStated() || server.warmup().equals(before.stated()))) {
            return;
        }
        // Servers of the first list may have been up for long.
        boolean assumed = hasList && !server.warmup().isStated();
        seen.remove(server.id());
        seen.put(server.id(), new Seen(server.startMillis(), server.warmup(), assumed, nowNanos));
    }

    /** Returns the statements that may still hold, of the servers and pools of a snapshot. */
    List<DispatchEvent> events(CatalogSnapshot snapshot, long nowNanos) {
        List<DispatchEvent> result = new ArrayList<>();
        if (snapshot.catalog().isEmpty()) {
            return result;
        }
        Catalog catalog = snapshot.catalog().get();
        for (PoolServer server : snapshot.servers()) {
            Pool pool = catalog.pools().get(server.service());
            Seen statement = seen.get(server.id());
            if (pool == null || !pool.hasWarmup() || statement == null) {
                continue;
            }
            long leftMillis =
                    statement.assumed() ? pool.warmupMillis() : statement.stated().leftMillis();
            long ageMillis = (long) Math.ceil((nowNanos - statement.nanos()) / NANOS_PER_MILLI);
            if (leftMillis == 0 || leftMillis > ageMillis) {
                result.add(
                        new DispatchEvent.ServerCold(
                                server.id(),
                                server.startMillis(),
                                leftMillis,
                                ageMillis,
                                DispatchEvent.ServerCold.Source.ENTRY));
            }
        }
        return result;
    }
}
