package org.orioleshed.standin;

import java.util.ArrayList;
import java.util.List;

/** The cache events that an engine publishes: delayed, bounded in number, and with gaps. */
final class CacheEvents {
    /** The number of newest events that are not yet published. */
    private static final int DELAYED_EVENTS = 3;

    private static final int MAX_EVENTS = 200;
    private static final int LOST_EVENT_INTERVAL = 17;

    /** A cache event; a lost event is published as a gap. */
    record Event(long sequence, List<Long> stored, List<Long> evicted, boolean lost) {}

    /** A response to a reader. */
    record Page(long next, boolean gap, List<Long> stored, List<Long> evicted) {}

    private final List<Event> events = new ArrayList<>();
    private long lastSequence;

    void add(List<Long> stored, List<Long> evicted) {
        lastSequence++;
        events.add(
                new Event(lastSequence, stored, evicted, lastSequence % LOST_EVENT_INTERVAL == 0));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    Page after(long sequence) {
        List<Long> stored = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        long next = sequence;
        boolean gap = !events.isEmpty() && events.getFirst().sequence() > sequence + 1;
        for (Event event : events) {
            if (event.sequence() <= sequence || event.sequence() > lastSequence - DELAYED_EVENTS) {
                continue;
            }
            next = event.sequence();
            gap |= event.lost();
            if (!event.lost()) {
                stored.addAll(event.stored());
                evicted.addAll(event.evicted());
            }
        }
        return new Page(next, gap, stored, evicted);
    }
}
