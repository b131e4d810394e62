package org.orioleshed.soak;

/** What may befall the fleet; each ends by itself. */
sealed interface Fault {
    /** A planned stop, and a new start. */
    record StopHost(int host) implements Fault {}

    record KillHost(int host, long downMillis) implements Fault {}

    record FreezeHost(int host, long millis) implements Fault {}

    record ChangeSettings(int host) implements Fault {}

    record WriteConfig() implements Fault {}

    /** A server leaves as planned, and another one comes. */
    record DrainServer(int choice, long beyondMillis) implements Fault {}

    /** A server is gone without a word, and another one comes. */
    record LoseServer(int choice, long entryMillis) implements Fault {}

    /** A server names for a while how many requests a second it takes. */
    record LimitServer(int choice, double perSecond, long millis) implements Fault {}

    record CutServer(int choice, FaultProxy.Mode mode, long millis) implements Fault {}

    /** The store is away for one host, or for all where {@code host} is -1. */
    record CutStore(int host, FaultProxy.Mode mode, long millis) implements Fault {}
}
