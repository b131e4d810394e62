package org.orioleshed.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Injects the faults of a plan at their times, concurrently, and waits for their ends. */
final class FaultInjector {
    private static final long RESTART_MILLIS = 300;

    /** Longer than the bound on drains: a draining server still serves for a short time. */
    private static final long MIN_DRAIN_MILLIS = 3_000;

    private static final long DRAIN_POLL_MILLIS = 50;

    private final SoakFleet fleet;
    private final History history;

    FaultInjector(SoakFleet fleet, History history) {
        this.fleet = fleet;
        this.history = history;
    }

    /** Injects all faults; returns when the last one is over. */
    void inject(List<FaultPlan.Step> steps) throws InterruptedException {
        long startNanos = System.nanoTime();
        List<Thread> threads = new ArrayList<>();
        for (FaultPlan.Step step : steps) {
            long sinceMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            Thread.sleep(Math.max(0, step.atMillis() - sinceMillis));
            threads.add(Thread.ofVirtual().start(() -> injectOne(step.fault())));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void injectOne(Fault fault) {
        try {
            switch (fault) {
                case Fault.StopHost it -> stop(host(it.host()));
                case Fault.KillHost it -> kill(host(it.host()), it.downMillis());
                case Fault.FreezeHost it -> freeze(host(it.host()), it.millis());
                case Fault.ChangeSettings it -> changeSettings(host(it.host()));
                case Fault.WriteConfig it -> fleet.operator().writeNext();
                case Fault.ChangeIdleTimeout it ->
                        fleet.operator().changeIdleTimeout(it.idleTimeoutMillis());
                case Fault.DrainServer it -> drain(it);
                case Fault.CrashServer it -> crash(it);
                case Fault.LimitServer it -> limit(it);
                case Fault.MalformResponses it -> malformResponses(it);
                case Fault.EvacuateZone it -> evacuate(it);
                case Fault.ImpairServer it -> impairServer(it);
                case Fault.ImpairStore it -> impairStore(it);
            }
        } catch (IOException e) {
            history.addProblem("injecting " + fault + " failed: " + e);
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

    /**
     * Changes a host's settings file. A process that isn't ready yet gets no signal, since it may
     * not handle it; it reads the changed file at its start.
     */
    private static void changeSettings(SoakHost host) throws IOException {
        host.changeSettings(Balancer.isReady(host));
    }

    private void kill(SoakHost host, long downMillis) throws IOException, InterruptedException {
        long fromNanos = System.nanoTime();
        if (host.kill()) {
            Thread.sleep(downMillis);
            host.start();
            addImpairment("KILL", host.index(), fromNanos);
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
        addImpairment("STOP", host.index(), fromNanos);
    }

    private void drain(Fault.DrainServer fault) throws IOException, InterruptedException {
        SoakServer server = fleet.replace(fault.choice());
        fleet.drain(server);
        Thread.sleep(MIN_DRAIN_MILLIS + fault.beyondMillis());
        while (!server.isIdle()) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        fleet.deregister(server);
        server.close();
    }

    private void crash(Fault.CrashServer fault) throws IOException, InterruptedException {
        long fromNanos = System.nanoTime();
        SoakServer server = fleet.replace(fault.choice());
        server.close();
        Thread.sleep(fault.entryMillis());
        fleet.deregister(server);
        addImpairment("server lost " + server.id(), History.ALL_HOSTS, fromNanos);
    }

    private void limit(Fault.LimitServer fault) throws InterruptedException {
        SoakServer server = fleet.server(fault.choice());
        long fromNanos = System.nanoTime();
        server.setLimit(fault.perSecond());
        Thread.sleep(fault.millis());
        server.clearLimit();
        history.add(
                new History.Limit(server.id(), fault.perSecond(), fromNanos, System.nanoTime()));
    }

    private void malformResponses(Fault.MalformResponses fault) throws InterruptedException {
        SoakServer server = fleet.server(fault.choice());
        server.malformResponses(true);
        Thread.sleep(fault.millis());
        server.malformResponses(false);
    }

    private void evacuate(Fault.EvacuateZone fault) throws InterruptedException {
        fleet.operator().evacuate(fault.zone());
        long acknowledgedNanos = System.nanoTime();
        Thread.sleep(fault.millis());
        long removalNanos = System.nanoTime();
        history.add(new History.Evacuation(fault.zone(), acknowledgedNanos, removalNanos));
        returnCold(fault.zone());
    }

    /** Ends a failure domain's evacuation, with servers that are cold for a while. */
    private void returnCold(String zone) throws InterruptedException {
        List<SoakServer> servers = fleet.turnCold(zone);
        long coldNanos = System.nanoTime();
        fleet.operator().endEvacuation(zone);
        Thread.sleep(TimeUnit.SECONDS.toMillis(ColdState.WARMUP_SECONDS));
        long warmNanos = System.nanoTime();
        servers.forEach(fleet::updateEntry);
        servers.forEach(it -> history.add(new History.Cold(it.id(), coldNanos, warmNanos)));
    }

    private void impairServer(Fault.ImpairServer fault) throws InterruptedException {
        SoakServer server = fleet.server(fault.choice());
        impair(
                List.of(server.proxy()),
                fault.mode(),
                fault.millis(),
                "server " + server.id(),
                History.ALL_HOSTS);
    }

    private void impairStore(Fault.ImpairStore fault) throws InterruptedException {
        List<FaultProxy> proxies =
                fleet.hosts().stream()
                        .filter(
                                it ->
                                        fault.host() == History.ALL_HOSTS
                                                || fault.host() == it.index())
                        .map(SoakHost::storeProxy)
                        .toList();
        impair(proxies, fault.mode(), fault.millis(), "store", fault.host());
    }

    private void impair(
            List<FaultProxy> proxies, FaultProxy.Mode mode, long millis, String name, int host)
            throws InterruptedException {
        long fromNanos = System.nanoTime();
        proxies.forEach(proxy -> proxy.setMode(mode));
        Thread.sleep(millis);
        proxies.forEach(proxy -> proxy.setMode(FaultProxy.Mode.PASS));
        addImpairment(name + " " + mode, host, fromNanos);
    }

    private void addImpairment(String name, int host, long fromNanos) {
        history.add(new History.Impairment(name, host, fromNanos, System.nanoTime()));
    }
}
