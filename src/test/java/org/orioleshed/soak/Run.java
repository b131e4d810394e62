package org.orioleshed.soak;

/** One arrival of a request at a server, and the work on it if there was any. */
final class Run {
    private final String id;
    private final String server;
    private final long arrivedNanos;
    private final String workspace;
    private final boolean keyPassed;
    private volatile long beganNanos;
    private volatile long endNanos;
    private volatile String end = "waiting";

    Run(String id, String server, long arrivedNanos, String workspace, boolean keyPassed) {
        this.id = id;
        this.server = server;
        this.arrivedNanos = arrivedNanos;
        this.workspace = workspace;
        this.keyPassed = keyPassed;
    }

    void began(long nowNanos) {
        beganNanos = nowNanos;
        end = "running";
    }

    void ended(String how, long nowNanos) {
        end = how;
        endNanos = nowNanos;
    }

    String id() {
        return id;
    }

    String server() {
        return server;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long beganNanos() {
        return beganNanos;
    }

    /** Returns when the work ended; the far future while it goes on. */
    long endNanos() {
        return endNanos == 0 ? Long.MAX_VALUE : endNanos;
    }

    String end() {
        return end;
    }

    String workspace() {
        return workspace;
    }

    boolean keyPassed() {
        return keyPassed;
    }

    boolean hasRun() {
        return beganNanos != 0;
    }

    @Override
    public String toString() {
        return "server=%s workspace=%s end=%s".formatted(server, workspace, end);
    }
}
