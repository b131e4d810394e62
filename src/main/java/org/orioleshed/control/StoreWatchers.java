package org.orioleshed.control;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/** Chooses the hosts of a failure domain that wait on the store for all others. */
final class StoreWatchers {
    private static final int PER_DOMAIN = 2;

    private StoreWatchers() {}

    /** Returns whether {@code self} is among the hosts of {@code domain} that watch. */
    static boolean includes(HostId self, FailureDomain domain, Collection<EntryHost> hosts) {
        long own = rank(self);
        int before = 0;
        for (EntryHost host : hosts) {
            if (host.id().equals(self) && !host.takesWork()) {
                before = PER_DOMAIN;
            }
            boolean rival = host.domain().equals(domain) && host.takesWork();
            if (rival && !host.id().equals(self) && rank(host.id()) < own) {
                before++;
            }
        }
        return before < PER_DOMAIN;
    }

    private static long rank(HostId host) {
        return Hashing.murmur3_128()
                .hashString("store-watcher/" + host.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
