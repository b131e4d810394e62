package org.orioleshed.load;

import java.util.Arrays;
import java.util.Locale;

/** What is wrong with a bad new version. */
enum VersionFault {
    /** Half of its runs fail from the start. */
    AT_ONCE("{\"failProbability\":0.5}"),
    /** Half of its runs fail from a later time on. */
    LATER("{\"failProbability\":0.5}"),
    /** All runs fail that an engine takes while more than four others are on it. */
    UNDER_LOAD("{\"failProbability\":1,\"aboveRunning\":4}"),
    /** Half of the runs of one route fail. */
    ONE_ROUTE("{\"failProbability\":0.5,\"onlyContent\":\"route=letters\"}"),
    /** It runs at a quarter of the speed. */
    SLOW("{\"speedFactor\":0.25}");

    /** The JSON for the stand-ins. */
    final String faults;

    VersionFault(String faults) {
        this.faults = faults;
    }

    String id() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static VersionFault named(String id) {
        return Arrays.stream(values())
                .filter(fault -> fault.id().equals(id))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no fault is named " + id));
    }
}
