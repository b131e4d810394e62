package org.orioleshed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Plays the faults of a plan at their times, beside each other, and waits for their ends. */
final class FaultPlayer {
    private static final long RESTART_MILLIS = 300;

    /** Longer than the bound on drains: a server goes on for a little after its word. */
    private static final long LEAST_DRAIN_MILLIS = 3_000;

    private static final long DRAIN_POLL_MILLIS = 50;
    private static final long LONGEST_DRAIN_MILLIS = 20_000;

    private final SoakFleet fleet;
    private final History history;

    FaultPlayer(SoakFleet fleet, History history) {
        this.fleet = fleet;
        this.history = history;
    }

    /** Plays all; returns when the last fault is over. */
    void play(List<FaultPlan.Step> steps) throws InterruptedException {
        long beginNanos = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        for (FaultPlan.Step step : steps) {
            long sinceMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beginNanos);
            Thread.sleep(Math.max(0, step.atMillis() - sinceMillis));
            threads.add(Thread.ofVirtual().start(() -> playOne(step.fault())));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void playOne(Fault fault) {
        try {
            switch (fault) {
                case Fault.StopHost it -> stop(host(it.host()));
                case Fault.KillHost it -> kill(host(it.host()), it.downMillis());
                case Fault.FreezeHost it -> freeze(host(it.host()), it.millis());
                case Fault.ChangeSettings it -> changeSettings(host(it.host()));
                case Fault.WriteConfig it -> fleet.operator().writeNext();
                case Fault.DrainServer it -> drain(it);
                case Fault.LoseServer it -> lose(it);
                case Fault.CutServer it -> cutServer(it);
                case Fault.ResetServer it -> reset(fleet.server(it.choice()));
                case Fault.CutStore it -> cutStore(it);
                case Fault.SlowStore it -> slowStore(it);
            }
        } catch (IOException e) {
            history.problem("fault " + fault + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SoakHost host(int index) {
        return fleet.hosts().get(index);
    }

    private static void stop(SoakHost host) throws IOException, InterruptedException {
        if (host.stop()) {
            Thread.sleep(RESTART_MILLIS);
            host.start();
        }
    }

    /** A process that is not ready yet takes no signal as it should; it finds the file changed. */
    private static void changeSettings(SoakHost host) throws IOException {
        host.changeSettings(Balancer.isReady(host));
    }

    private void kill(SoakHost host, long downMillis) throws IOException, InterruptedException {
        long fromNanos = System.nanoTime();
        if (host.kill()) {
            Thread.sleep(downMillis);
            host.start();
            impaired("KILL", host.index(), fromNanos);
        }
    }

    private void freeze(SoakHost host, long millis) throws InterruptedException {
        long fromNanos = System.nanoTime();
        HostProcess frozen = host.freeze();
        if (frozen == null) {
            return;
        }
        Thread.sleep(millis);
        frozen.signal("CONT");
        impaired("STOP", host.index(), fromNanos);
    }

    private void drain(Fault.DrainServer fault) throws IOException, InterruptedException {
        SoakServer server = fleet.takeServer(fault.choice());
        if (server == null) {
            return;
        }
        fleet.addServer();
        fleet.drain(server);
        long longestNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_DRAIN_MILLIS);
        Thread.sleep(LEAST_DRAIN_MILLIS + fault.beyondMillis());
        while (!server.isIdle() && System.nanoTime() < longestNanos) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        fleet.forget(server);
        server.close();
    }

    private void lose(Fault.LoseServer fault) throws IOException, InterruptedException {
        SoakServer server = fleet.takeServer(fault.choice());
        if (server == null) {
            return;
        }
        long fromNanos = System.nanoTime();
        server.close();
        fleet.addServer();
        Thread.sleep(fault.entryMillis());
        fleet.forget(server);
        impaired("server lost " + server.id(), -1, fromNanos);
    }

    private void cutServer(Fault.CutServer fault) throws InterruptedException {
        SoakServer server = fleet.server(fault.choice());
        long fromNanos = System.nanoTime();
        server.proxy().mode(fault.mode());
        Thread.sleep(fault.millis());
        server.proxy().mode(FaultProxy.Mode.PASS);
        impaired("server cut " + fault.mode() + " " + server.id(), -1, fromNanos);
    }

    private void reset(SoakServer server) {
        long fromNanos = System.nanoTime();
        server.proxy().reset();
        impaired("server reset " + server.id(), -1, fromNanos);
    }

    private void cutStore(Fault.CutStore fault) throws InterruptedException {
        List<SoakHost> cut =
                fault.host() < 0 ? fleet.hosts() : List.of(fleet.hosts().get(fault.host()));
        long fromNanos = System.nanoTime();
        for (SoakHost host : cut) {
            host.store().mode(fault.mode());
            if (fault.mode() == FaultProxy.Mode.REFUSE) {
                host.store().reset();
            }
        }
        Thread.sleep(fault.millis());
        cut.forEach(host -> host.store().mode(FaultProxy.Mode.PASS));
        impaired("store cut " + fault.mode(), fault.host(), fromNanos);
    }

    private void slowStore(Fault.SlowStore fault) throws InterruptedException {
        long fromNanos = System.nanoTime();
        fleet.hosts().forEach(host -> host.store().delay(fault.delayMillis()));
        Thread.sleep(fault.millis());
        fleet.hosts().forEach(host -> host.store().delay(0));
        impaired("store slow", -1, fromNanos);
    }

    private void impaired(String what, int host, long fromNanos) {
        history.add(new History.Impairment(what, host, fromNanos, System.nanoTime()));
    }
}
