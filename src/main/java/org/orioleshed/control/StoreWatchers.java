package org.orioleshed.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.Rendezvous;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/** Chooses the hosts of a failure domain that wait on the store for all others. */
final class StoreWatchers {
    private static final String ITEM = "store-watcher";
    private static final int PER_DOMAIN = 2;

    private StoreWatchers() {}

    /** Returns whether {@code self} is among the hosts of {@code domain} that watch. */
    static boolean includes(HostId self, FailureDomain domain, Collection<EntryHost> hosts) {
        List<HostId> rivals = new ArrayList<>();
        rivals.add(self);
        boolean stays = true;
        for (EntryHost host : hosts) {
            boolean isSelf = host.id().equals(self);
            stays &= !isSelf || host.takesWork();
            if (!isSelf && host.domain().equals(domain) && host.takesWork()) {
                rivals.add(host.id());
            }
        }
        return stays && Rendezvous.ranked(rivals, ITEM).indexOf(self) < PER_DOMAIN;
    }
}
