package org.orioleshed.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A host with its successive processes, and its proxy to the store. */
final class SoakHost implements AutoCloseable {
    private final int index;
    private final List<String> ips;
    private final String zone;
    private final Path directory;
    private final FaultProxy storeProxy;
    private final History history;
    private int retrySlack = 40;
    private HostProcess process;
    private volatile int startCount;
    private volatile boolean up;
    private volatile long signalNanos;

    SoakHost(
            int index,
            List<String> ips,
            String zone,
            Path directory,
            FaultProxy storeProxy,
            History history) {
        this.index = index;
        this.ips = ips;
        this.zone = zone;
        this.directory = directory;
        this.storeProxy = storeProxy;
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

    /** Returns the number of starts so far. */
    int startCount() {
        return startCount;
    }

    /** Returns whether the host runs and no stop was requested. */
    boolean isUp() {
        return up;
    }

    /** Returns the time when a stop was requested; 0 where none was since the last start. */
    long signalNanos() {
        return signalNanos;
    }

    FaultProxy storeProxy() {
        return storeProxy;
    }

    InetSocketAddress callerAddress() {
        return new InetSocketAddress(ips.get(index), HostAddresses.CALLERS_PORT);
    }

    InetSocketAddress readyAddress() {
        return new InetSocketAddress(ips.get(index), HostAddresses.READY_PORT);
    }

    synchronized void start() throws IOException {
        Path settings = writeSettings();
        startCount++;
        signalNanos = 0;
        Path log = directory.resolve(logName(index));
        process = new HostProcess(settings, log, history);
        up = true;
    }

    private Path writeSettings() throws IOException {
        Path settings = directory.resolve("host-%d.json".formatted(index));
        HostSettings.write(
                settings, ips, ips.get(index), zone, storeProxy.address().getPort(), retrySlack);
        return settings;
    }

    /** Changes the settings file, and sends a HUP signal where {@code sendsSignal}. */
    synchronized void changeSettings(boolean sendsSignal) throws IOException {
        retrySlack++;
        writeSettings();
        if (sendsSignal) {
            process.signal("HUP");
        }
    }

    private synchronized Optional<HostProcess> markDown() {
        Optional<HostProcess> running = Optional.ofNullable(up ? process : null);
        up = false;
        return running;
    }

    /** Stops the host, and kills it after the grace period; returns false where it was down. */
    boolean stop() throws InterruptedException {
        Optional<HostProcess> running = markDown();
        if (running.isEmpty()) {
            return false;
        }
        long beforeSignalNanos = System.nanoTime();
        running.get().terminate();
        long afterSignalNanos = System.nanoTime();
        signalNanos = afterSignalNanos;
        long graceMillis = TimeUnit.SECONDS.toMillis(HostSettings.GRACE_SECONDS);
        running.get().awaitExitOrKill(graceMillis);
        history.add(
                new History.Stop(
                        index,
                        beforeSignalNanos,
                        afterSignalNanos,
                        System.nanoTime(),
                        graceMillis));
        return true;
    }

    /** Kills the host; returns false where it was down or stopping. */
    boolean kill() throws InterruptedException {
        Optional<HostProcess> running = markDown();
        if (running.isPresent()) {
            running.get().awaitExitOrKill(0);
        }
        return running.isPresent();
    }

    /**
     * Suspends the process and returns it, for the caller to resume; returns null where it was down
     * or stopping.
     */
    synchronized HostProcess freeze() {
        if (!up) {
            return null;
        }
        process.signal("STOP");
        return process;
    }

    /** Records a problem where the process exited although no stop or kill was requested. */
    synchronized void checkAlive() {
        if (up && !process.isAlive()) {
            up = false;
            history.addProblem(
                    "host %d exited unexpectedly in process %d".formatted(index, startCount));
        }
    }

    /** Kills the process, also one that is stopping. */
    @Override
    public synchronized void close() throws IOException {
        up = false;
        try {
            if (process != null) {
                process.awaitExitOrKill(0);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        storeProxy.close();
    }
}
