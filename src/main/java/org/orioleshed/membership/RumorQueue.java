package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Rumors still to be sent, those sent least often first. Rumors expire; hosts that a rumor did not
 * reach in time get the change when whole views are compared.
 */
final class RumorQueue {
    private static final int MAX_ENTRIES = 2_000;

    private static final class Entry {
        private final Object subject;
        private final Rumor rumor;
        private final long addedNanos;
        private int sendCount;

        Entry(Object subject, Rumor rumor, long addedNanos) {
            this.subject = subject;
            this.rumor = rumor;
            this.addedNanos = addedNanos;
        }

        private static int mostSentFirst(Entry a, Entry b) {
            return a.sendCount != b.sendCount
                    ? Integer.compare(b.sendCount, a.sendCount)
                    : Long.compare(a.addedNanos, b.addedNanos);
        }
    }

    private final Map<Object, Entry> entryBySubject = new LinkedHashMap<>();

    /** Adds a rumor, replacing one on the same subject; drops the oldest if the queue is full. */
    void add(Rumor rumor, long nowNanos) {
        Object subject = subject(rumor);
        entryBySubject.remove(subject);
        if (entryBySubject.size() >= MAX_ENTRIES) {
            entryBySubject.remove(entryBySubject.keySet().iterator().next());
        }
        entryBySubject.put(subject, new Entry(subject, rumor, nowNanos));
    }

    /** Removes rumors added before {@code beforeNanos}. */
    void removeAddedBefore(long beforeNanos) {
        entryBySubject.values().removeIf(entry -> entry.addedNanos < beforeNanos);
    }

    boolean isEmpty() {
        return entryBySubject.isEmpty();
    }

    /**
     * Returns the {@code count} rumors sent least often and counts one more send of each; removes
     * those sent {@code maxSends} times.
     */
    List<Rumor> take(int count, int maxSends) {
        if (entryBySubject.isEmpty() || count <= 0) {
            return List.of();
        }
        PriorityQueue<Entry> leastSent = new PriorityQueue<>(Entry::mostSentFirst);
        for (Entry entry : entryBySubject.values()) {
            leastSent.add(entry);
            if (leastSent.size() > count) {
                leastSent.poll();
            }
        }
        List<Rumor> taken = new ArrayList<>(leastSent.size());
        for (Entry entry : leastSent) {
            taken.add(entry.rumor);
            entry.sendCount++;
            if (entry.sendCount >= maxSends) {
                entryBySubject.remove(entry.subject);
            }
        }
        return taken;
    }

    private static Object subject(Rumor rumor) {
        return switch (rumor) {
            case Rumor.OfHost host -> host.member().id();
            case Rumor.OfMark of -> of.mark().subject();
        };
    }
}
