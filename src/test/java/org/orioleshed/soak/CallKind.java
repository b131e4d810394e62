package org.orioleshed.soak;

import java.util.List;

/** The kinds of calls, each with a route of its own. */
enum CallKind {
    RESUMABLE("/r/", true, true),
    STREAM("/s/", true, false),
    ONCE("/o/", false, false),
    IDEMPOTENT("/i/", false, true);

    static final List<CallKind> ALL = List.of(values());

    private final String prefix;
    private final boolean streams;
    private final boolean mayRunAgain;

    CallKind(String prefix, boolean streams, boolean mayRunAgain) {
        this.prefix = prefix;
        this.streams = streams;
        this.mayRunAgain = mayRunAgain;
    }

    String prefix() {
        return prefix;
    }

    boolean streams() {
        return streams;
    }

    boolean mayRunAgain() {
        return mayRunAgain;
    }
}
