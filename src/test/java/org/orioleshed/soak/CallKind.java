package org.orioleshed.soak;

import java.util.List;

/** The kinds of calls, each with its own route. */
enum CallKind {
    RESUMABLE("/r/"),
    STREAM("/s/"),
    ONCE("/o/"),
    IDEMPOTENT("/i/all/");

    static final List<CallKind> ALL = List.of(values());

    private final String prefix;

    CallKind(String prefix) {
        this.prefix = prefix;
    }

    String prefix() {
        return prefix;
    }

    boolean streams() {
        return this == RESUMABLE || this == STREAM;
    }

    boolean mayRunAgain() {
        return this == RESUMABLE || this == IDEMPOTENT;
    }
}
