package org.orioleshed.settings;

import java.util.Optional;

/** Finds the known name that a misspelt one was meant to be. */
final class NearestName {
    private NearestName() {}

    /** Returns the nearest of {@code known}, or empty when none is near. */
    static Optional<String> of(String name, Iterable<String> known) {
        String best = null;
        int bestDistance = Math.max(1, name.length() / 2) + 1;
        for (String candidate : known) {
            int distance = distance(name, candidate);
            if (distance < bestDistance) {
                bestDistance = distance;
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the number of single-character edits between the two. */
    static int distance(String a, String b) {
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
