package org.orioleshed.control;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/** Chooses the hosts of a failure domain that wait on the store for all others. */
final class StoreWatchers {
    private static final int PER_DOMAIN = 2;

    private StoreWatchers() {}

    /** Returns whether {@code self} is among the hosts of {@code domain} that watch. */
    static boolean includes(HostId self, FailureDomain domain, Collection<EntryHost> hosts) {
        List<HostId> chosen =
                hosts.stream()
                        .filter(host -> host.domain().equals(domain) && host.takesWork())
                        .map(EntryHost::id)
                        .sorted(Comparator.comparingLong(StoreWatchers::rank))
                        .limit(PER_DOMAIN)
                        .toList();
        return chosen.contains(self) || chosen.isEmpty();
    }

    private static long rank(HostId host) {
        return Hashing.murmur3_128()
                .hashString("store-watcher/" + host.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
