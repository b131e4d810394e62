package org.orioleshed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The promises that were found broken. */
final class Findings {
    private final List<Broken> all = new ArrayList<>();

    /** A broken promise; {@code callId} is empty where it concerns no call. */
    record Broken(String rule, String callId, String text) {}

    void add(String rule, String callId, String text) {
        all.add(new Broken(rule, callId, text));
    }

    List<Broken> all() {
        return all;
    }

    /** Returns how often each rule was broken. */
    Map<String, Long> counts() {
        return all.stream()
                .collect(Collectors.groupingBy(Broken::rule, TreeMap::new, Collectors.counting()));
    }
}
