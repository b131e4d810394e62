package org.orioleshed.quarantine;

import java.util.List;

/**
 * What one host knows of crashes and quarantined content, for another host.
 *
 * @param crashes the crashes that it saw recently
 * @param held what is quarantined
 */
public record CrashReport(List<Seen> crashes, List<Held> held) {
    /** Copies the lists. */
    public CrashReport {
        crashes = List.copyOf(crashes);
        held = List.copyOf(held);
    }

    /**
     * A crash and the runs that it broke.
     *
     * @param server the server
     * @param ageMillis how long ago its first run broke, in milliseconds
     * @param runs the contents and the parts that are still suspected
     */
    public record Seen(ServerStart server, long ageMillis, List<RequestContent> runs) {
        /** Copies the list. */
        public Seen {
            runs = List.copyOf(runs);
        }
    }

    /**
     * What is quarantined.
     *
     * @param suspect what crashed servers
     * @param crashes the number of crashes that proved it
     * @param ageMillis how long ago the last of them was, in milliseconds
     * @param leftMillis how long it is held from now on, in milliseconds; negative if a request may
     *     be tried
     * @param times how often it was quarantined since it was last answered
     */
    public record Held(Suspect suspect, int crashes, long ageMillis, long leftMillis, int times) {}
}
