package org.orioleshed.load;

import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.orioleshed.load.FleetLayout.Host;

/**
 * Racing operators who change settings at several hosts, and an observer who asks every host which
 * revision it has in force.
 */
final class SettingsTrial {
    private static final long POLL_MILLIS = 50;
    private static final long PAUSE_MILLIS = 400;
    private static final long LAST_CHANGE_MILLIS = 5_000;
    private static final int MAX_WAITING = 400;
    private static final int ACCEPTED = 200;
    private static final int CONFLICT = 409;

    private final AdminClient admin;
    private final FleetLayout layout;
    private final Map<Long, Long> acceptedMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> revisions = new ConcurrentHashMap<>();
    private final AtomicLong slowestMillis = new AtomicLong();
    private final AtomicInteger reverted = new AtomicInteger();
    private final AtomicInteger conflicts = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger accepted = new AtomicInteger();

    SettingsTrial(AdminClient admin, FleetLayout layout) {
        this.admin = admin;
        this.layout = layout;
    }

    /** Lets operators change settings until {@code endMillis} (epoch) and observes a while more. */
    void run(int operators, long endMillis) throws InterruptedException {
        for (int i = 0; i < operators; i++) {
            int number = i;
            Thread.ofVirtual().start(() -> operate(number, endMillis));
        }
        while (System.currentTimeMillis() < endMillis + LAST_CHANGE_MILLIS) {
            layout.hosts().parallelStream().forEach(this::observe);
            settle();
            Thread.sleep(POLL_MILLIS);
        }
        long now = System.currentTimeMillis();
        acceptedMillis.values().forEach(at -> slowestMillis.accumulateAndGet(now - at, Math::max));
    }

    /** Adds what was seen to a report. */
    void report(ObjectNode json) {
        json.put("settingsMillisP100", slowestMillis.get());
        json.put("settingsReverted", reverted.get());
        json.put("settingsAccepted", accepted.get());
        json.put("settingsConflicts", conflicts.get());
        json.put("settingsRefused", refused.get());
    }

    private void operate(int number, long endMillis) {
        List<Host> hosts = layout.hosts();
        String branch = layout.deployment().id();
        List<String> workspaces = layout.deployment().workspaces();
        for (int turn = 0; System.currentTimeMillis() < endMillis; turn++) {
            String workspace = workspaces.get((number + turn) % workspaces.size());
            String path = "workspaces.branches." + branch + ".items." + workspace + ".maxWaiting";
            Host host = hosts.get((number * 3 + turn) % hosts.size());
            try {
                change(host, path, MAX_WAITING + turn);
                Thread.sleep(PAUSE_MILLIS);
            } catch (IOException e) {
                refused.incrementAndGet();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void change(Host host, String path, int value)
            throws IOException, InterruptedException {
        AdminClient.Answer answer = admin.set(host, path, IntNode.valueOf(value), "an experiment");
        switch (answer.status()) {
            case ACCEPTED -> {
                accepted.incrementAndGet();
                long revision = answer.body().path("revision").asLong();
                acceptedMillis.put(revision, System.currentTimeMillis());
            }
            case CONFLICT -> conflicts.incrementAndGet();
            default -> refused.incrementAndGet();
        }
    }

    private void observe(Host host) {
        try {
            long revision = admin.revision(host);
            Long before = revisions.put(host.id(), revision);
            if (before != null && revision < before) {
                reverted.incrementAndGet();
            }
        } catch (IOException e) {
            revisions.putIfAbsent(host.id(), 0L);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Notes the changes that are in force on every host by now. */
    private void settle() {
        if (revisions.size() < layout.hosts().size()) {
            return;
        }
        long everywhere = revisions.values().stream().mapToLong(Long::longValue).min().orElse(0);
        long now = System.currentTimeMillis();
        acceptedMillis.forEach(
                (revision, at) -> {
                    if (revision <= everywhere) {
                        slowestMillis.accumulateAndGet(now - at, Math::max);
                        acceptedMillis.remove(revision);
                    }
                });
    }
}
