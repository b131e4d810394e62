package org.orioleshed.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The violations that the checks found. */
final class Findings {
    private final List<Violation> all = new ArrayList<>();

    /**
     * A violation of a rule.
     *
     * @param callId the call or server that it concerns; empty where there is none
     */
    record Violation(String rule, String callId, String text) {}

    void add(String rule, String callId, String text) {
        all.add(new Violation(rule, callId, text));
    }

    List<Violation> all() {
        return all;
    }

    /** Returns the number of violations of each rule. */
    Map<String, Long> counts() {
        return all.stream()
                .collect(
                        Collectors.groupingBy(
                                Violation::rule, TreeMap::new, Collectors.counting()));
    }
}
