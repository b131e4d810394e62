package org.orioleshed.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/** Chooses the hosts of a failure domain that watch the store on behalf of the others. */
final class StoreWatchers {
    private static final String RENDEZVOUS_ITEM = "store-watcher";
    private static final int WATCHERS_PER_DOMAIN = 2;

    private StoreWatchers() {}

    /** Returns whether {@code self} is among the hosts of {@code domain} that watch. */
    static boolean includes(HostId self, FailureDomain domain, Collection<EntryHost> hosts) {
        List<HostId> candidates = new ArrayList<>();
        candidates.add(self);
        boolean selfTakesWork = true;
        for (EntryHost host : hosts) {
            boolean isSelf = host.id().equals(self);
            selfTakesWork &= !isSelf || host.takesWork();
            if (!isSelf && host.domain().equals(domain) && host.takesWork()) {
                candidates.add(host.id());
            }
        }
        return selfTakesWork
                && Rendezvous.ranked(candidates, RENDEZVOUS_ITEM).indexOf(self)
                        < WATCHERS_PER_DOMAIN;
    }
}
