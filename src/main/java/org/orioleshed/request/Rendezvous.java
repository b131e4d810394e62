package org.orioleshed.request;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.orioleshed.fleet.World;
import org.orioleshed.model.HostId;

/** Chooses a host for an item so that few items move when a host comes or goes. */
public final class Rendezvous {
    private Rendezvous() {}

    /** Returns the host among {@code hosts} that scores highest for {@code item}. */
    public static Optional<HostId> choose(Collection<HostId> hosts, String item) {
        return hosts.stream()
                .max(
                        Comparator.<HostId>comparingLong(host -> score(host, item))
                                .thenComparing(Comparator.naturalOrder()));
    }

    /** Returns the host among those of {@code world} that take work. */
    public static Optional<HostId> choose(World world, String item) {
        return choose(
                world.hosts().values().stream()
                        .filter(host -> host.takesWork())
                        .map(host -> host.id())
                        .toList(),
                item);
    }

    /**
     * Returns the {@code count} best hosts among those of {@code world} that take work, the best
     * first.
     */
    static List<HostId> choose(World world, String item, int count) {
        return world.hosts().values().stream()
                .filter(host -> host.takesWork())
                .map(host -> host.id())
                .sorted(
                        Comparator.<HostId>comparingLong(host -> score(host, item))
                                .thenComparing(Comparator.naturalOrder())
                                .reversed())
                .limit(count)
                .toList();
    }

    private static long score(HostId host, String item) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(host.value(), StandardCharsets.UTF_8)
                .putInt(0)
                .putString(item, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
