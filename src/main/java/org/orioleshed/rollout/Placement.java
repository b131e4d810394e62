package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;

/** Chooses backend servers for a new version, within their memory and spread over domains. */
public final class Placement {
    private Placement() {}

    /**
     * A backend server that may take the version.
     *
     * @param id the server
     * @param domain its failure domain
     * @param memoryBytes its memory for weights
     * @param usedBytes the part that is taken; stays taken until the rollout's outcome
     */
    public record Room(ServerId id, FailureDomain domain, long memoryBytes, long usedBytes) {
        /** Checks the arguments. */
        public Room {
            if (id == null || domain == null) {
                throw new IllegalArgumentException("server and domain must be given");
            }
            if (memoryBytes < 0 || usedBytes < 0 || usedBytes > memoryBytes) {
                throw new IllegalArgumentException("used memory must lie within the memory");
            }
        }

        long freeBytes() {
            return memoryBytes - usedBytes;
        }
    }

    /** Where the version goes. */
    public sealed interface Result {
        /** These servers take it. */
        record Placed(List<ServerId> servers) implements Result {
            /** Copies the list. */
            public Placed {
                servers = List.copyOf(servers);
            }
        }

        /** It fits on fewer servers than wanted. */
        record TooLittleMemory(int wanted, int fitting) implements Result {}
    }

    /**
     * Places a version on {@code wanted} servers. Domains with fewest chosen servers go first, and
     * within them the servers with most free memory.
     *
     * @param versionBytes the size of the version's weights, positive
     * @param wanted the number of servers, positive
     */
    public static Result place(long versionBytes, int wanted, List<Room> rooms) {
        if (versionBytes <= 0 || wanted <= 0) {
            throw new IllegalArgumentException("size and number must be positive");
        }
        List<Room> fitting = new ArrayList<>();
        for (Room room : rooms) {
            if (room.freeBytes() >= versionBytes) {
                fitting.add(room);
            }
        }
        if (fitting.size() < wanted) {
            return new Result.TooLittleMemory(wanted, fitting.size());
        }
        Map<FailureDomain, Integer> chosenByDomain = new HashMap<>();
        List<ServerId> chosen = new ArrayList<>();
        while (chosen.size() < wanted) {
            Room next =
                    fitting.stream()
                            .min(
                                    Comparator.comparingInt(
                                                    (Room room) ->
                                                            chosenByDomain.getOrDefault(
                                                                    room.domain(), 0))
                                            .thenComparing(
                                                    Comparator.comparingLong(Room::freeBytes)
                                                            .reversed())
                                            .thenComparing(Room::id))
                            .orElseThrow();
            fitting.remove(next);
            chosen.add(next.id());
            chosenByDomain.merge(next.domain(), 1, Integer::sum);
        }
        return new Result.Placed(chosen);
    }
}
