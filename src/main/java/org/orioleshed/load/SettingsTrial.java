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
 * Changes settings concurrently through several hosts and polls the revision in force on each host,
 * to measure conflicts, reverted revisions and the propagation delay.
 */
final class SettingsTrial {
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long CHANGE_INTERVAL_MILLIS = 400;
    private static final long OBSERVE_AFTER_END_MILLIS = 5_000;
    private static final int MAX_WAITING = 400;
    private static final int HTTP_OK = 200;
    private static final int HTTP_CONFLICT = 409;

    private final AdminClient admin;
    private final FleetLayout layout;
    private final Map<Long, Long> acceptedMillisByRevision = new ConcurrentHashMap<>();
    private final Map<String, Long> revisionByHost = new ConcurrentHashMap<>();
    private final AtomicLong maxPropagationMillis = new AtomicLong();
    private final AtomicInteger reverted = new AtomicInteger();
    private final AtomicInteger conflicts = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger accepted = new AtomicInteger();

    SettingsTrial(AdminClient admin, FleetLayout layout) {
        this.admin = admin;
        this.layout = layout;
    }

    /**
     * Runs concurrent operators, and polls the hosts for a further {@link
     * #OBSERVE_AFTER_END_MILLIS}.
     *
     * @param operators the number of operators
     * @param endMillis the time until which settings are changed, in milliseconds since the epoch
     */
    void run(int operators, long endMillis) throws InterruptedException {
        for (int i = 0; i < operators; i++) {
            int operator = i;
            Thread.ofVirtual().start(() -> runOperator(operator, endMillis));
        }
        while (System.currentTimeMillis() < endMillis + OBSERVE_AFTER_END_MILLIS) {
            layout.hosts().parallelStream().forEach(this::observe);
            recordPropagated();
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        long nowMillis = System.currentTimeMillis();
        acceptedMillisByRevision
                .values()
                .forEach(
                        acceptedAtMillis ->
                                maxPropagationMillis.accumulateAndGet(
                                        nowMillis - acceptedAtMillis, Math::max));
    }

    /** Adds the observations to a report. */
    void report(ObjectNode json) {
        json.put("settingsMillisP100", maxPropagationMillis.get());
        json.put("settingsReverted", reverted.get());
        json.put("settingsAccepted", accepted.get());
        json.put("settingsConflicts", conflicts.get());
        json.put("settingsRefused", refused.get());
    }

    private void runOperator(int operator, long endMillis) {
        List<Host> hosts = layout.hosts();
        String branch = layout.deployment().id();
        List<String> workspaces = layout.deployment().workspaces();
        for (int round = 0; System.currentTimeMillis() < endMillis; round++) {
            String workspace = workspaces.get((operator + round) % workspaces.size());
            String path = "workspaces.branches." + branch + ".items." + workspace + ".maxWaiting";
            Host host = hosts.get((operator * 3 + round) % hosts.size());
            try {
                change(host, path, MAX_WAITING + round);
                Thread.sleep(CHANGE_INTERVAL_MILLIS);
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
        AdminClient.Response response =
                admin.set(host, path, IntNode.valueOf(value), "an experiment");
        switch (response.status()) {
            case HTTP_OK -> {
                accepted.incrementAndGet();
                long revision = response.body().path("revision").asLong();
                acceptedMillisByRevision.put(revision, System.currentTimeMillis());
            }
            case HTTP_CONFLICT -> conflicts.incrementAndGet();
            default -> refused.incrementAndGet();
        }
    }

    private void observe(Host host) {
        try {
            long revision = admin.revision(host);
            Long previous = revisionByHost.put(host.id(), revision);
            if (previous != null && revision < previous) {
                reverted.incrementAndGet();
            }
        } catch (IOException e) {
            revisionByHost.putIfAbsent(host.id(), 0L);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Records the delay of the changes that are in force on every host. */
    private void recordPropagated() {
        if (revisionByHost.size() < layout.hosts().size()) {
            return;
        }
        long commonRevision =
                revisionByHost.values().stream().mapToLong(Long::longValue).min().orElse(0);
        long nowMillis = System.currentTimeMillis();
        acceptedMillisByRevision.forEach(
                (revision, acceptedAtMillis) -> {
                    if (revision <= commonRevision) {
                        maxPropagationMillis.accumulateAndGet(
                                nowMillis - acceptedAtMillis, Math::max);
                        acceptedMillisByRevision.remove(revision);
                    }
                });
    }
}
