package org.orioleshed.soak;

/** A fault or a planned operation on the fleet, which ends after its own time. */
sealed interface Fault {
    /** A planned stop of a host, and its restart. */
    record StopHost(int host) implements Fault {}

    record KillHost(int host, long downMillis) implements Fault {}

    record FreezeHost(int host, long millis) implements Fault {}

    record ChangeSettings(int host) implements Fault {}

    record WriteConfig() implements Fault {}

    /** A configuration with another time for which callers may leave connections idle. */
    record ChangeIdleTimeout(long idleTimeoutMillis) implements Fault {}

    /**
     * A planned drain of a server, which another one replaces.
     *
     * @param choice the server's position among the current ones, modulo their number
     * @param beyondMillis the time for which the server stays beyond the least time of a drain
     */
    record DrainServer(int choice, long beyondMillis) implements Fault {}

    /**
     * A crash of a server, which another one replaces.
     *
     * @param entryMillis the time for which the server's entry stays in the store
     */
    record CrashServer(int choice, long entryMillis) implements Fault {}

    /** A server states a limit of requests per second in its responses for a while. */
    record LimitServer(int choice, double perSecond, long millis) implements Fault {}

    /** A server runs requests and answers them with malformed responses for a while. */
    record MalformResponses(int choice, long millis) implements Fault {}

    /** An evacuation of a failure domain, whose servers are cold when it ends. */
    record EvacuateZone(String zone, long millis) implements Fault {}

    record ImpairServer(int choice, FaultProxy.Mode mode, long millis) implements Fault {}

    /** The store is impaired for one host, or for all where {@code host} is -1. */
    record ImpairStore(int host, FaultProxy.Mode mode, long millis) implements Fault {}
}
