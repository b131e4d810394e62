package org.orioleshed.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * News still to be handed on, what was told least often first. News grows old: what it has not
 * reached by then, the comparison of whole views mends.
 */
final class RumorQueue {
    private static final int MAX_WAITING = 2_000;

    private static final class Waiting {
        private final Object subject;
        private final Rumor rumor;
        private final long learnedNanos;
        private int told;

        Waiting(Object subject, Rumor rumor, long learnedNanos) {
            this.subject = subject;
            this.rumor = rumor;
            this.learnedNanos = learnedNanos;
        }

        private static int mostToldFirst(Waiting a, Waiting b) {
            return a.told != b.told
                    ? Integer.compare(b.told, a.told)
                    : Long.compare(a.learnedNanos, b.learnedNanos);
        }
    }

    private final Map<Object, Waiting> waitingBySubject = new LinkedHashMap<>();

    /** Adds news; earlier news of the same subject is dropped. */
    void add(Rumor rumor, long nowNanos) {
        Object subject = subject(rumor);
        waitingBySubject.remove(subject);
        if (waitingBySubject.size() >= MAX_WAITING) {
            waitingBySubject.remove(waitingBySubject.keySet().iterator().next());
        }
        waitingBySubject.put(subject, new Waiting(subject, rumor, nowNanos));
    }

    /** Drops news learned before {@code beforeNanos}. */
    void dropOld(long beforeNanos) {
        waitingBySubject.values().removeIf(waiting -> waiting.learnedNanos < beforeNanos);
    }

    boolean isEmpty() {
        return waitingBySubject.isEmpty();
    }

    /**
     * Returns at most {@code count} pieces of news and counts them as told once more; those told
     * {@code maxTold} times are dropped.
     */
    List<Rumor> take(int count, int maxTold) {
        if (waitingBySubject.isEmpty() || count <= 0) {
            return List.of();
        }
        PriorityQueue<Waiting> mostTold = new PriorityQueue<>(Waiting::mostToldFirst);
        for (Waiting waiting : waitingBySubject.values()) {
            mostTold.add(waiting);
            if (mostTold.size() > count) {
                mostTold.poll();
            }
        }
        List<Rumor> taken = new ArrayList<>(mostTold.size());
        for (Waiting waiting : mostTold) {
            taken.add(waiting.rumor);
            waiting.told++;
            if (waiting.told >= maxTold) {
                waitingBySubject.remove(waiting.subject);
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
