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

    private static void run(FleetSpec spec) {
        start(spec);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int port(String listen) {
        String prefix = "127.0.0.1:";
        if (!listen.startsWith(prefix)) {
            throw new IllegalArgumentException("--listen must be 127.0.0.1:PORT: " + listen);
        }
        return Integer.parseInt(listen.substring(prefix.length()));
    }

    /** Runs one engine. */
    @Command(name = "engine", description = "Runs a model engine")
    public static final class EngineCommand implements Runnable {
        @Option(name = "--listen", description = "127.0.0.1:PORT")
        @Required
        String listen;

        @Option(name = "--id", description = "The backend server's id")
        String id = "engine";

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

        @Override
        public void run() {
            EngineSpec spec =
                    new EngineSpec(
                            id,
                            port(listen),
                            model,
                            version,
                            stepMillis,
                            stepMillisPerRun,
                            prefillTokensPerSecond,
                            maxBatch,
                            cacheTokens,
                            !ignoreFencing);
            StandinMain.run(new FleetSpec(List.of(spec), List.of(), null));
        }
    }

    /** Runs one plain service. */
    @Command(name = "service", description = "Runs a plain service")
    public static final class ServiceCommand implements Runnable {
        @Option(name = "--listen", description = "127.0.0.1:PORT")
        @Required
        String listen;

        @Option(name = "--id", description = "The backend server's id")
        String id = "service";

        @Option(name = "--call-millis", description = "The time of a call")
        int callMillis = 20;

        @Override
        public void run() {
            ServiceSpec spec = new ServiceSpec(id, port(listen), callMillis);
            StandinMain.run(new FleetSpec(List.of(), List.of(spec), null));
        }
    }

    /** Runs the store. */
    @Command(name = "store", description = "Runs the platform's key-value service")
    public static final class StoreCommand implements Runnable {
        @Option(name = "--listen", description = "127.0.0.1:PORT")
        @Required
        String listen;

        @Option(name = "--writes", description = "Writes a second")
        int writesPerSecond = 500;

        @Option(name = "--reads", description = "Reads a second")
        int readsPerSecond = 2_000;

        @Override
        public void run() {
            StoreSpec spec = new StoreSpec(port(listen), writesPerSecond, readsPerSecond);
            StandinMain.run(new FleetSpec(List.of(), List.of(), spec));
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
                StandinMain.run(JsonDoor.JSON.readValue(new File(spec), FleetSpec.class));
            } catch (IOException e) {
                throw new IllegalArgumentException(spec + " cannot be read: " + e.getMessage(), e);
            }
        }
    }
}
