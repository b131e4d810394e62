package org.orioleshed.standin;

import java.util.ArrayList;
import java.util.List;

/** The cache events that an engine publishes: late, of bounded number, and with gaps. */
final class CacheEvents {
    /** How many of the newest events are held back. */
    private static final int HELD_BACK = 3;

    private static final int MAX_EVENTS = 200;
    private static final int LOST_EVERY = 17;

    /** One event; lost ones stay as a gap. */
    record Event(long number, List<Long> stored, List<Long> evicted, boolean lost) {}

    /** What a reader gets. */
    record Page(long next, boolean gap, List<Long> stored, List<Long> evicted) {}

    private final List<Event> events = new ArrayList<>();
    private long lastNumber;

    void add(List<Long> stored, List<Long> evicted) {
        lastNumber++;
        events.add(new Event(lastNumber, stored, evicted, lastNumber % LOST_EVERY == 0));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    Page after(long number) {
        List<Long> stored = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        long next = number;
        boolean gap = !events.isEmpty() && events.getFirst().number() > number + 1;
        for (Event event : events) {
            if (event.number() <= number || event.number() > lastNumber - HELD_BACK) {
                continue;
            }
            next = event.number();
            gap |= event.lost();
            if (!event.lost()) {
                stored.addAll(event.stored());
                evicted.addAll(event.evicted());
            }
        }
        return new Page(next, gap, stored, evicted);
    }
}
