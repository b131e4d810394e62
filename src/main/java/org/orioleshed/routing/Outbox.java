package org.orioleshed.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.host.Decision;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.HostId;
import org.orioleshed.model.RunId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;
import org.orioleshed.routing.RoutingMessage.RefusalReason;

/**
 * Collects the actions of one event, and keeps a bounded history of grants and of the ends of runs,
 * to answer repeated and late messages.
 */
final class Outbox {
    private static final int MAX_ENTRIES = 4_096;

    private final Map<RunId, RunEnd> ends = new BoundedMap<>();
    private final Set<RunId> granted = Collections.newSetFromMap(new BoundedMap<>());
    private List<HostAction> actions = new ArrayList<>();

    /** A map that evicts its oldest entry when full. */
    private static final class BoundedMap<V> extends LinkedHashMap<RunId, V> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RunId, V> eldest) {
            return size() > MAX_ENTRIES;
        }
    }

    /** Returns the actions collected since the last call. */
    List<HostAction> drain() {
        List<HostAction> drained = actions;
        actions = new ArrayList<>();
        return drained;
    }

    Optional<RunEnd> endOf(RunId run) {
        return Optional.ofNullable(ends.get(run));
    }

    /**
     * Returns whether this process granted the run a slot; false once the grant is evicted from the
     * history.
     */
    boolean wasGranted(RunId run) {
        return granted.contains(run);
    }

    void add(HostAction action) {
        actions.add(action);
    }

    void send(HostId to, RoutingMessage message) {
        actions.add(new HostAction.SendRouting(to, message));
    }

    void sendGranted(WaitingOffer waiting, ServerId server, long reservedMillis) {
        granted.add(waiting.run());
        send(waiting.from(), new RoutingMessage.Granted(waiting.run(), server, reservedMillis));
    }

    void sendRefused(
            HostId to,
            RunId run,
            Tier tier,
            ServerId server,
            RefusalReason reason,
            boolean lowerTierRuns,
            long waitMillis) {
        send(to, new RoutingMessage.Refused(run, server, reason, lowerTierRuns, waitMillis));
        String reasonText = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
        log("refuse", run, tier, server, server + ":" + waitMillis, reasonText);
    }

    void sendEnded(HostId to, RunId run, RunEnd end) {
        ends.put(run, end);
        send(to, new RoutingMessage.Ended(run, end));
    }

    void log(String kind, RunId run, Tier tier, ServerId server, String candidates, String reason) {
        Decision decision = new Decision(kind, run, tier, Optional.of(server), candidates, reason);
        actions.add(new HostAction.Log(decision));
    }
}
