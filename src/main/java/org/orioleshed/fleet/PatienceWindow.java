package org.orioleshed.fleet;

import java.time.LocalTime;
import java.time.ZoneId;

/**
 * The daily hours in which patient work of a workspace may run freely. Ends on the next day when
 * {@code end} is not after {@code start}.
 *
 * @param start when the window opens
 * @param end when the window closes
 * @param zone the time zone of both
 */
public record PatienceWindow(LocalTime start, LocalTime end, ZoneId zone) {
    /** Returns whether {@code time}, on the window's own clock, lies within it. */
    public boolean contains(LocalTime time) {
        if (start.isBefore(end)) {
            return !time.isBefore(start) && time.isBefore(end);
        }
        return !time.isBefore(start) || time.isBefore(end);
    }
}
