package org.orioleshed.settings;

import java.util.Optional;

/** Suggests the known name closest to a misspelled one, by Levenshtein distance. */
final class NearestName {
    private NearestName() {}

    /**
     * Returns the closest of {@code known}; empty if the distance to each of them exceeds {@code
     * max(1, name.length() / 2)}.
     */
    static Optional<String> of(String name, Iterable<String> known) {
        String best = null;
        int bestDistance = Math.max(1, name.length() / 2) + 1;
        for (String candidate : known) {
            int distance = editDistance(name, candidate);
            if (distance < bestDistance) {
                bestDistance = distance;
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the Levenshtein distance between two strings. */
    static int editDistance(String a, String b) {
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] current = new int[b.length() + 1];
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replace = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(replace, Math.min(previous[j], current[j - 1]) + 1);
            }
            previous = current;
        }
        return previous[b.length()];
    }
}
