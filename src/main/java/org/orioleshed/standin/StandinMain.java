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

/** The program {@code orioleshed-standin}. */
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
    private static final int CLOCK_THREADS = 2;

    private StandinMain() {}

    /** Runs the program until the process is ended. */
    public static void main(String[] args) {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
        new com.github.rvesse.airline.Cli<Runnable>(StandinMain.class).parse(args).run();
    }

    /** Starts all stand-ins of {@code spec}; they run on threads of their own. */
    static void start(FleetSpec spec) {
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(CLOCK_THREADS);
        if (spec.store() != null) {
            new StoreServer(spec.store()).open();
        }
        spec.engines().forEach(engine -> new EngineServer(engine, clock).open());
        spec.services().forEach(service -> new ServiceServer(service).open());
        System.out.println("ready");
    }

    private static void runForever(FleetSpec spec) {
        start(spec);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs one stand-in. */
    public abstract static class OneCommand implements Runnable {
        private static final String LOOPBACK = "127.0.0.1:";

        @Option(name = "--listen", description = "127.0.0.1:PORT")
        @Required
        String listen;

        /** Returns what the options say of the stand-in. */
        abstract FleetSpec spec(int port);

        @Override
        public final void run() {
            runForever(spec(port()));
        }

        private int port() {
            if (!listen.startsWith(LOOPBACK)) {
                throw new IllegalArgumentException("--listen must be 127.0.0.1:PORT: " + listen);
            }
            return Integer.parseInt(listen.substring(LOOPBACK.length()));
        }
    }

    /** Runs one backend server. */
    public abstract static class BackendCommand extends OneCommand {
        @Option(name = "--id", description = "The backend server's id")
        String id;

        BackendCommand(String defaultId) {
            this.id = defaultId;
        }
    }

    /** Runs one engine. */
    @Command(name = "engine", description = "Runs a model engine")
    public static final class EngineCommand extends BackendCommand {
        @Option(name = "--model", description = "The model")
        String model = "letters";

        @Option(name = "--model-version", description = "The version")
        String version = "v1";

        @Option(name = "--step-millis", description = "A decoding step with one run; 0 for none")
        double stepMillis = 20;

        @Option(name = "--step-millis-per-run", description = "Added by each further run")
        double stepMillisPerRun = 2;

        @Option(name = "--prefill", description = "Prefill tokens a second; 0 for no cost")
        double prefillTokensPerSecond = 6_000;

        @Option(name = "--batch", description = "The most runs in a batch")
        int maxBatch = 16;

        @Option(name = "--cache-tokens", description = "The size of the prefix cache")
        int cacheTokens = 60_000;

        @Option(name = "--ignore-fencing", description = "Take orders with old fencing numbers")
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
        @Option(name = "--call-millis", description = "The time of a call")
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

    /** Runs the store. */
    @Command(name = "store", description = "Runs the platform's key-value service")
    public static final class StoreCommand extends OneCommand {
        @Option(name = "--writes", description = "Writes a second")
        int writesPerSecond = 500;

        @Option(name = "--reads", description = "Reads a second")
        int readsPerSecond = 2_000;

        @Override
        FleetSpec spec(int port) {
            StoreSpec spec = new StoreSpec(port, writesPerSecond, readsPerSecond);
            return new FleetSpec(List.of(), List.of(), spec);
        }
    }

    /** Runs many stand-ins in one process. */
    @Command(name = "fleet", description = "Runs all stand-ins of a file")
    public static final class FleetCommand implements Runnable {
        @Option(name = "--spec", description = "A JSON file of engines, services and a store")
        @Required
        String spec;

        @Override
        public void run() {
            try {
                runForever(JsonHandler.JSON.readValue(new File(spec), FleetSpec.class));
            } catch (IOException e) {
                throw new IllegalArgumentException(spec + " cannot be read: " + e.getMessage(), e);
            }
        }
    }
}
