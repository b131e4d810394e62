package org.orioleshed.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A host over all of its lives, and the way from it to the store. */
final class SoakHost implements AutoCloseable {
    private final int index;
    private final List<String> ips;
    private final String zone;
    private final Path directory;
    private final FaultProxy store;
    private final History history;
    private int retrySlack = 40;
    private HostProcess process;
    private volatile int life;
    private volatile boolean up;
    private volatile long signalNanos;

    SoakHost(
            int index,
            List<String> ips,
            String zone,
            Path directory,
            FaultProxy store,
            History history) {
        this.index = index;
        this.ips = ips;
        this.zone = zone;
        this.directory = directory;
        this.store = store;
        this.history = history;
    }

    static String logName(int host) {
        return "host-%d.log".formatted(host);
    }

    int index() {
        return index;
    }

    String zone() {
        return zone;
    }

    /** Returns how often it was started; 0 before. */
    int life() {
        return life;
    }

    /** Returns whether it runs and was not told to stop. */
    boolean isUp() {
        return up;
    }

    /** Returns when it was told to stop; 0 where it was not. */
    long signalNanos() {
        return signalNanos;
    }

    FaultProxy store() {
        return store;
    }

    InetSocketAddress callers() {
        return new InetSocketAddress(ips.get(index), HostAddresses.CALLERS_PORT);
    }

    InetSocketAddress ready() {
        return new InetSocketAddress(ips.get(index), HostAddresses.READY_PORT);
    }

    synchronized void start() throws IOException {
        Path settings = writeSettings();
        life++;
        signalNanos = 0;
        Path log = directory.resolve(logName(index));
        process = new HostProcess(settings, log, history);
        up = true;
    }

    private Path writeSettings() throws IOException {
        Path settings = directory.resolve("host-%d.json".formatted(index));
        HostSettings.write(
                settings, ips, ips.get(index), zone, store.address().getPort(), retrySlack);
        return settings;
    }

    /** Changes the settings file, and tells the process so where {@code signals}. */
    synchronized void changeSettings(boolean signals) throws IOException {
        retrySlack++;
        writeSettings();
        if (signals) {
            process.signal("HUP");
        }
    }

    private synchronized Optional<HostProcess> takeDown() {
        Optional<HostProcess> running = Optional.ofNullable(up ? process : null);
        up = false;
        return running;
    }

    /** Stops it as planned, with the hard end after the grace period; false where it was down. */
    boolean stop() throws InterruptedException {
        Optional<HostProcess> running = takeDown();
        if (running.isEmpty()) {
            return false;
        }
        long beforeNanos = System.nanoTime();
        running.get().terminate();
        long afterNanos = System.nanoTime();
        signalNanos = afterNanos;
        long graceMillis = TimeUnit.SECONDS.toMillis(HostSettings.GRACE_SECONDS);
        running.get().endWithin(graceMillis);
        history.add(
                new History.Stop(index, beforeNanos, afterNanos, System.nanoTime(), graceMillis));
        return true;
    }

    /** Ends it without a word; false where it was down or leaves. */
    boolean kill() throws InterruptedException {
        Optional<HostProcess> running = takeDown();
        if (running.isPresent()) {
            running.get().endWithin(0);
        }
        return running.isPresent();
    }

    /** Freezes the process and returns it, to be continued; null where it was down or leaves. */
    synchronized HostProcess freeze() {
        if (!up) {
            return null;
        }
        process.signal("STOP");
        return process;
    }

    /** Notes a process that ended though nobody ended it. */
    synchronized void checkAlive() {
        if (up && !process.isAlive()) {
            up = false;
            history.problem("host %d ended by itself in life %d".formatted(index, life));
        }
    }

    /** Ends the process, also one that leaves. */
    @Override
    public synchronized void close() throws IOException {
        up = false;
        try {
            if (process != null) {
                process.endWithin(0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
