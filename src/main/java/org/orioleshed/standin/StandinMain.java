package org.orioleshed.standin;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.help.Help;
import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Entry point of {@code orioleshed-standin}. */
@Cli(
        name = "orioleshed-standin",
        description = "Stand-ins for the platform's store, model engines and plain services",
        defaultCommand = Help.class,
        commands = {
            StandinMain.EngineCommand.class,
            StandinMain.ServiceCommand.class,
            StandinMain.StoreCommand.class,
            StandinMain.FleetCommand.class,
            Help.class
        })
public final class StandinMain {
    private static final int SCHEDULER_THREADS = 2;

    private StandinMain() {}

    /** Runs the stand-ins until the process is terminated. */
    public static void main(String[] args) {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
        new com.github.rvesse.airline.Cli<Runnable>(StandinMain.class).parse(args).run();
    }

    /** Starts all stand-ins of {@code spec} and returns. */
    static void start(FleetSpec spec) {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(SCHEDULER_THREADS);
        if (spec.store() != null) {
            new StoreServer(spec.store()).open();
        }
        spec.engines().forEach(engine -> new EngineServer(engine, scheduler).open());
        spec.services().forEach(service -> new ServiceServer(service).open());
        System.out.println("ready");
    }

    private static void runUntilInterrupted(FleetSpec spec) {
        start(spec);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs one stand-in. */
    public abstract static class StandinCommand implements Runnable {
        private static final String LOOPBACK_PREFIX = "127.0.0.1:";

        @Option(name = "--listen", description = "127.0.0.1:PORT")
        @Required
        String listen;

        /** Returns the configuration set by the options. */
        abstract FleetSpec spec(int port);

        @Override
        public final void run() {
            runUntilInterrupted(spec(port()));
        }

        private int port() {
            if (!listen.startsWith(LOOPBACK_PREFIX)) {
                throw new IllegalArgumentException(
                        "--listen must be 127.0.0.1:PORT, found " + listen);
            }
            return Integer.parseInt(listen.substring(LOOPBACK_PREFIX.length()));
        }
    }

    /** Runs one backend server. */
    public abstract static class BackendCommand extends StandinCommand {
        @Option(name = "--id", description = "The backend server's id")
        String id;

        BackendCommand(String defaultId) {
            this.id = defaultId;
        }
    }

    /** Runs one model engine. */
    @Command(name = "engine", description = "Runs a model engine")
    public static final class EngineCommand extends BackendCommand {
        @Option(name = "--model", description = "The model")
        String model = "letters";

        @Option(name = "--model-version", description = "The version")
        String version = "v1";

        @Option(name = "--step-millis", description = "Milliseconds per decode step; 0 for none")
        double stepMillis = 20;

        @Option(
                name = "--step-millis-per-run",
                description = "Milliseconds added per additional run")
        double stepMillisPerRun = 2;

        @Option(
                name = "--prefill",
                description = "Prefill tokens per second; 0 for no prefill time")
        double prefillTokensPerSecond = 6_000;

        @Option(name = "--batch", description = "The maximum number of runs in a batch")
        int maxBatch = 16;

        @Option(name = "--cache-tokens", description = "The size of the prefix cache, in tokens")
        int cacheTokens = 60_000;

        @Option(name = "--ignore-fencing", description = "Accept orders with stale fencing numbers")
        boolean ignoreFencing;

        /** Makes a command with the options' defaults. */
        public EngineCommand() {
            super("engine");
        }

        @Override
        FleetSpec spec(int port) {
            EngineSpec spec =
                    new EngineSpec(
                            id,
                            port,
                            model,
                            version,
                            stepMillis,
                            stepMillisPerRun,
                            prefillTokensPerSecond,
                            maxBatch,
                            cacheTokens,
                            !ignoreFencing);
            return new FleetSpec(List.of(spec), List.of(), null);
        }
    }

    /** Runs one plain service. */
    @Command(name = "service", description = "Runs a plain service")
    public static final class ServiceCommand extends BackendCommand {
        @Option(name = "--call-millis", description = "The duration of a call, in milliseconds")
        int callMillis = 20;

        /** Makes a command with the options' defaults. */
        public ServiceCommand() {
            super("service");
        }

        @Override
        FleetSpec spec(int port) {
            ServiceSpec spec = new ServiceSpec(id, port, callMillis);
            return new FleetSpec(List.of(), List.of(spec), null);
        }
    }

    /** Runs the key-value store. */
    @Command(name = "store", description = "Runs the platform's key-value store")
    public static final class StoreCommand extends StandinCommand {
        @Option(name = "--writes", description = "The maximum writes per second")
        int writesPerSecond = 500;

        @Option(name = "--reads", description = "The maximum reads per second")
        int readsPerSecond = 2_000;

        @Override
        FleetSpec spec(int port) {
            StoreSpec spec = new StoreSpec(port, writesPerSecond, readsPerSecond);
            return new FleetSpec(List.of(), List.of(), spec);
        }
    }

    /** Runs many stand-ins in one process. */
    @Command(name = "fleet", description = "Runs all stand-ins of a JSON file")
    public static final class FleetCommand implements Runnable {
        @Option(name = "--spec", description = "A JSON file with engines, services and a store")
        @Required
        String spec;

        @Override
        public void run() {
            try {
                runUntilInterrupted(JsonHttpServer.JSON.readValue(new File(spec), FleetSpec.class));
            } catch (IOException e) {
                throw new IllegalArgumentException(
                        "cannot read " + spec + ": " + e.getMessage(), e);
            }
        }
    }
}
