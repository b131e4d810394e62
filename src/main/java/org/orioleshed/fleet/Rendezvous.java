package org.orioleshed.fleet;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.HostId;

/**
 * Assigns items to hosts by rendezvous hashing, so that few items are reassigned when a host joins
 * or leaves.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /** Returns the host with the highest score for {@code item}; empty if there are no hosts. */
    public static Optional<HostId> choose(Collection<HostId> hosts, String item) {
        HostId best = null;
        long bestScore = 0;
        for (HostId host : hosts) {
            long score = score(host, item);
            boolean better =
                    best == null
                            || score > bestScore
                            || (score == bestScore && host.compareTo(best) < 0);
            if (better) {
                best = host;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the host with the highest score among the hosts of {@code fleet} that take work. */
    public static Optional<HostId> choose(FleetSnapshot fleet, String item) {
        return choose(takingWork(fleet), item);
    }

    /** Returns {@code hosts} in descending order of their score for {@code item}. */
    public static List<HostId> ranked(Collection<HostId> hosts, String item) {
        return hosts.stream()
                .sorted(
                        Comparator.comparingLong((HostId host) -> score(host, item))
                                .reversed()
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /**
     * Returns the {@code count} hosts with the highest scores among the hosts of {@code fleet} that
     * take work, the highest first.
     */
    public static List<HostId> choose(FleetSnapshot fleet, String item, int count) {
        return ranked(takingWork(fleet), item).stream().limit(count).toList();
    }

    private static List<HostId> takingWork(FleetSnapshot fleet) {
        return fleet.hosts().values().stream()
                .filter(EntryHost::takesWork)
                .map(EntryHost::id)
                .toList();
    }

    private static long score(HostId host, String item) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(host.value(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(item, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
