package org.orioleshed.load;

import java.util.Arrays;
import java.util.Locale;

/** The fault of a bad new version. */
enum VersionFault {
    /** Half of the runs fail from the start. */
    AT_ONCE("{\"failProbability\":0.5}"),
    /** Half of the runs fail from a later time on. */
    LATER("{\"failProbability\":0.5}"),
    /** All runs fail that an engine admits while more than four other runs are on it. */
    UNDER_LOAD("{\"failProbability\":1,\"aboveRunning\":4}"),
    /** Half of the runs of one route fail. */
    ONE_ROUTE("{\"failProbability\":0.5,\"onlyContent\":\"route=letters\"}"),
    /** Engines run at a quarter of their speed. */
    SLOW("{\"speedFactor\":0.25}");

    /** The faults as JSON of the stand-ins. */
    final String faults;

    VersionFault(String faults) {
        this.faults = faults;
    }

    String id() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static VersionFault byId(String id) {
        return Arrays.stream(values())
                .filter(fault -> fault.id().equals(id))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "unknown fault "
                                                + id
                                                + "; allowed: at-once, later, under-load, one-route, slow"));
    }
}
