package org.orioleshed.fleet;

import java.time.LocalTime;
import java.time.ZoneId;

/**
 * The daily time window in which a workspace's work of the patient tier may run without
 * restriction. Ends on the next day if {@code end} is not after {@code start}.
 *
 * @param start when the window opens
 * @param end when the window closes
 * @param zone the time zone of both
 */
public record PatienceWindow(LocalTime start, LocalTime end, ZoneId zone) {
    /** Returns whether {@code time}, local to {@code zone}, is within the window. */
    public boolean contains(LocalTime time) {
        if (start.isBefore(end)) {
            return !time.isBefore(start) && time.isBefore(end);
        }
        return !time.isBefore(start) || time.isBefore(end);
    }
}
