package org.orioleshed.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;

/**
 * Chooses backend servers for a new version, within their memory and distributed over failure
 * domains.
 */
public final class VersionPlacement {
    private VersionPlacement() {}

    /**
     * A backend server that the version may be placed on.
     *
     * @param id the server
     * @param domain its failure domain
     * @param memoryBytes its memory for weights, in bytes
     * @param usedBytes the part in use, in bytes; stays in use until the rollout's outcome
     */
    public record Candidate(ServerId id, FailureDomain domain, long memoryBytes, long usedBytes) {
        /** Checks the arguments. */
        public Candidate {
            if (id == null || domain == null) {
                throw new IllegalArgumentException("server and domain must be given");
            }
            if (memoryBytes < 0 || usedBytes < 0 || usedBytes > memoryBytes) {
                throw new IllegalArgumentException(
                        "usedBytes must be from 0 to memoryBytes, found "
                                + usedBytes
                                + " of "
                                + memoryBytes);
            }
        }

        long freeBytes() {
            return memoryBytes - usedBytes;
        }
    }

    /** The result of a placement. */
    public sealed interface Result {
        /** The version is placed on these servers. */
        record Placed(List<ServerId> servers) implements Result {
            /** Copies the list. */
            public Placed {
                servers = List.copyOf(servers);
            }
        }

        /** The version fits on fewer servers than wanted. */
        record TooLittleMemory(int wanted, int fitting) implements Result {}
    }

    /**
     * Places a version on {@code wanted} servers. Prefers domains with the fewest chosen servers,
     * and within them the servers with the most free memory.
     *
     * @param versionBytes the size of the version's weights in bytes, positive
     * @param wanted the number of servers, positive
     */
    public static Result place(long versionBytes, int wanted, List<Candidate> candidates) {
        if (versionBytes <= 0 || wanted <= 0) {
            throw new IllegalArgumentException(
                    "versionBytes and wanted must be positive, found "
                            + versionBytes
                            + " and "
                            + wanted);
        }
        List<Candidate> fitting = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.freeBytes() >= versionBytes) {
                fitting.add(candidate);
            }
        }
        if (fitting.size() < wanted) {
            return new Result.TooLittleMemory(wanted, fitting.size());
        }
        Map<FailureDomain, Integer> chosenByDomain = new HashMap<>();
        List<ServerId> chosen = new ArrayList<>();
        while (chosen.size() < wanted) {
            Candidate next =
                    fitting.stream()
                            .min(
                                    Comparator.comparingInt(
                                                    (Candidate candidate) ->
                                                            chosenByDomain.getOrDefault(
                                                                    candidate.domain(), 0))
                                            .thenComparing(
                                                    Comparator.comparingLong(Candidate::freeBytes)
                                                            .reversed())
                                            .thenComparing(Candidate::id))
                            .orElseThrow();
            fitting.remove(next);
            chosen.add(next.id());
            chosenByDomain.merge(next.domain(), 1, Integer::sum);
        }
        return new Result.Placed(chosen);
    }
}
