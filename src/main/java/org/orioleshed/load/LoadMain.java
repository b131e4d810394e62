package org.orioleshed.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.help.Help;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.CategoryChart;
import org.orioleshed.trial.PolicyTrials;

/** Entry point of {@code orioleshed-load}. */
@Cli(
        name = "orioleshed-load",
        description = "Load, experiments and their reports",
        defaultCommand = Help.class,
        commands = {
            LoadMain.FleetCommand.class,
            LoadMain.ScenariosCommand.class,
            LoadMain.StepsCommand.class,
            LoadMain.RunCommand.class,
            LoadMain.CompareCommand.class,
            LoadMain.PlotCommand.class,
            LoadMain.PathCommand.class,
            LoadMain.PoliciesCommand.class,
            Help.class
        })
public final class LoadMain {
    private LoadMain() {}

    /** Runs a command; exits with status 1 if it fails. */
    public static void main(String[] args) {
        System.setProperty("jdk.httpclient.keepalive.timeout", "5");
        try {
            new com.github.rvesse.airline.Cli<Runnable>(LoadMain.class).parse(args).run();
        } catch (IllegalStateException | IllegalArgumentException | UncheckedIOException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(1);
        }
        System.exit(0);
    }

    /** Options that select an experiment. */
    public abstract static class ExperimentOptions implements Runnable {
        @Option(name = "--scenario", description = "The scenario's name")
        String scenario = "steady";

        @Option(name = "--deployment", description = "association or office")
        String deployment = "association";

        @Option(name = "--base-port", description = "The first loopback port of the fleet")
        int basePort = 21_000;

        @Option(name = "--seconds", description = "How long requests are sent, in seconds")
        double seconds = 30;

        @Option(name = "--policy", description = "orioleshed or naive")
        String policy = "orioleshed";

        @Option(name = "--fault", description = "The fault of the new version in bad-version")
        String fault = "at-once";

        Scenario selectedScenario() {
            Scenario selected = Scenario.byName(scenario);
            return selected.hasBadVersion()
                    ? selected.withFault(VersionFault.byId(fault), Deployment.byId(deployment))
                    : selected;
        }

        FleetLayout layout() {
            Deployment selected = Deployment.byId(deployment);
            return new FleetLayout(selected, basePort, Scenario.byName(scenario).newVersion());
        }
    }

    /** Writes the configuration files of an experiment. */
    @Command(name = "fleet", description = "Writes the configuration files of an experiment")
    public static final class FleetCommand extends ExperimentOptions {
        @Option(name = "--out", description = "The directory to write to")
        @Required
        String out;

        @Override
        public void run() {
            try {
                new FleetFiles(layout()).write(Path.of(out), policy);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Lists the scenarios. */
    @Command(name = "scenarios", description = "Lists the scenarios")
    public static final class ScenariosCommand implements Runnable {
        @Override
        public void run() {
            for (Scenario scenario : Scenario.all()) {
                System.out.printf("%-18s%s%n", scenario.name(), scenario.summary());
            }
        }
    }

    /** Lists the process steps that the script executes. */
    @Command(
            name = "steps",
            description = "Prints one process step per line: seconds, action, host id")
    public static final class StepsCommand extends ExperimentOptions {
        @Override
        public void run() {
            List<FleetLayout.Host> hosts = layout().hosts();
            for (Step step : Scenario.byName(scenario).steps()) {
                if (step instanceof Step.Processes processes) {
                    String host = processes.host() < 0 ? "all" : hosts.get(processes.host()).id();
                    System.out.printf(
                            "%.1f %s %s%n", processes.at() * seconds, processes.action(), host);
                }
            }
        }
    }

    /** Runs an experiment on a started fleet. */
    @Command(name = "run", description = "Sends a scenario's load to a started fleet and reports")
    public static final class RunCommand extends ExperimentOptions {
        @Option(name = "--seed", description = "The seed of the random numbers")
        long seed = 1;

        @Option(name = "--report", description = "The JSON file to write the report to")
        String report;

        @Option(name = "--results", description = "The JSON Lines file to write results to")
        String resultsFile;

        @Override
        public void run() {
            Experiment experiment =
                    new Experiment(layout(), selectedScenario(), seconds, seed, System.out);
            try {
                ObjectNode json = experiment.run();
                json.put("policy", policy);
                if (selectedScenario().hasBadVersion()) {
                    json.put("fault", fault);
                }
                ReportTable.print(json, System.out);
                ReportFiles.write(json, report);
                ReportFiles.writeLines(experiment.results(), resultsFile);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Prints two reports side by side. */
    @Command(name = "compare", description = "Prints two reports side by side")
    public static final class CompareCommand implements Runnable {
        @Arguments(title = "FILE", description = "Two report files")
        @Required
        List<String> files;

        @Override
        public void run() {
            if (files.size() != 2) {
                throw new IllegalArgumentException(
                        "compare takes exactly two files, found " + files.size());
            }
            try {
                ReportTable.compare(
                        ReportFiles.read(files.get(0)), ReportFiles.read(files.get(1)), System.out);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Draws a bar chart of reports. */
    @Command(name = "plot", description = "Draws a per-tier field of reports as SVG")
    public static final class PlotCommand implements Runnable {
        @Option(name = "--field", description = "A report field with a value for each tier")
        String field = "goodput";

        @Option(name = "--out", description = "The SVG file")
        @Required
        String out;

        @Arguments(title = "FILE", description = "Report files")
        @Required
        List<String> files;

        @Override
        public void run() {
            try {
                List<JsonNode> reports = new ArrayList<>();
                for (String file : files) {
                    reports.add(ReportFiles.read(file));
                }
                Plot.write(reports, field, Path.of(out));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Compares scheduling policies in a simulation. */
    @Command(name = "policies", description = "Compares scheduling policies on simulated engines")
    public static final class PoliciesCommand implements Runnable {
        @Option(name = "--seeds", description = "The number of seeds for each trial")
        int seeds = 5;

        @Option(name = "--out", description = "The SVG file to write a chart to")
        String out;

        @Override
        public void run() {
            try {
                CategoryChart chart = PolicyTrials.run(seeds, System.out);
                if (out != null) {
                    Plot.write(chart, Path.of(out));
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Measures the latency that an entry host adds. */
    @Command(name = "path", description = "Measures the first-byte latency added by a host")
    public static final class PathCommand implements Runnable {
        @Option(name = "--host", description = "The entry host's base URL for callers")
        @Required
        String host;

        @Option(name = "--engine", description = "The engine's base URL")
        @Required
        String engine;

        @Option(name = "--host-pid", description = "The entry host's process id")
        long hostPid;

        @Option(name = "--workspace", description = "The workspace whose bearer key is sent")
        String workspace = "stewards";

        @Option(name = "--route", description = "The route")
        String route = "gangway";

        @Option(name = "--callers", description = "The number of concurrent callers")
        int callers = 4;

        @Option(name = "--requests", description = "The number of measured requests for each path")
        int requests = 4_000;

        @Option(name = "--report", description = "The JSON file to write the report to")
        String report;

        @Override
        public void run() {
            String key = Deployment.bearerKey(workspace);
            try {
                LatencyBenchmark benchmark = new LatencyBenchmark(host, engine, key, route);
                JsonNode json = benchmark.measure(callers, requests, hostPid);
                ReportTable.print(json, System.out);
                ReportFiles.write(json, report);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
