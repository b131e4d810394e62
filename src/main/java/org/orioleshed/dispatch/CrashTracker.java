package org.orioleshed.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.orioleshed.model.ServerId;

/**
 * Finds content that crashes the servers that run it, and holds it. A broken run alone proves
 * nothing; a crash is a broken run after which the server is not there. What merely ran beside the
 * culprit is cleared by its next answer.
 */
final class CrashTracker {
    /** Crashes of different servers, or of one at different times, that hold content. */
    private static final int HOLDING_CRASHES = 3;

    /** A server that crashed is missed within this time after its runs broke. */
    private static final long LINK_NANOS = TimeUnit.SECONDS.toNanos(6);

    private static final long HELD_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int MAX_BREAKS = 256;
    private static final int MAX_CONTENTS = 1_024;

    private final Deque<Break> breaks = new ArrayDeque<>();
    private final Map<Long, Strikes> contents = new LinkedHashMap<>();

    private record Break(ServerId server, long content, long atNanos) {}

    private record Strikes(int crashes, long untilNanos) {}

    /** A run of {@code content} broke off at a server. */
    void broke(ServerId server, long content, long nowNanos) {
        breaks.addLast(new Break(server, content, nowNanos));
        if (breaks.size() > MAX_BREAKS) {
            breaks.removeFirst();
        }
    }

    /** A server is not there, or started anew: what broke there lately is suspected. */
    void missed(ServerId server, long nowNanos) {
        Set<Long> suspects = new HashSet<>();
        for (Break broken : breaks) {
            if (broken.server().equals(server) && nowNanos - broken.atNanos() < LINK_NANOS) {
                suspects.add(broken.content());
            }
        }
        breaks.removeIf(broken -> broken.server().equals(server));
        suspects.forEach(content -> strike(content, nowNanos));
    }

    private void strike(long content, long nowNanos) {
        Strikes before = contents.remove(content);
        int crashes = before == null || nowNanos > before.untilNanos() ? 0 : before.crashes();
        contents.put(content, new Strikes(crashes + 1, nowNanos + HELD_NANOS));
        if (contents.size() > MAX_CONTENTS) {
            contents.remove(contents.keySet().iterator().next());
        }
    }

    /** A run of {@code content} was answered. */
    void answered(long content, long nowNanos) {
        if (!isHeld(content, nowNanos)) {
            contents.remove(content);
        }
    }

    /** Returns how many crashes each content that is suspected has caused. */
    Map<Long, Integer> strikes(long nowNanos) {
        Map<Long, Integer> result = new HashMap<>();
        contents.forEach(
                (content, strikes) -> {
                    if (nowNanos <= strikes.untilNanos()) {
                        result.put(content, strikes.crashes());
                    }
                });
        return result;
    }

    /** Adds crashes that another host saw. */
    void applyReport(Map<Long, Integer> crashes, long nowNanos) {
        crashes.forEach(
                (content, count) -> {
                    for (int crash = 0; crash < Math.min(count, HOLDING_CRASHES); crash++) {
                        strike(content, nowNanos);
                    }
                });
    }

    /** Returns whether content must not be run. */
    boolean isHeld(long content, long nowNanos) {
        Strikes strikes = contents.get(content);
        return strikes != null
                && strikes.crashes() >= HOLDING_CRASHES
                && nowNanos <= strikes.untilNanos();
    }
}
