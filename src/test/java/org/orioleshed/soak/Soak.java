package org.orioleshed.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** One soak: a fleet, its callers and the faults of a seed, and the checks after them. */
final class Soak {
    private static final long WARM_UP_MILLIS = 1_500;
    private static final int MOST_TOLD = 8;

    private final long seed;
    private final FaultPlan plan;
    private final Path directory;
    private final History history = new History();
    private final List<Violation> violations = new ArrayList<>();

    Soak(long seed) throws IOException {
        this.seed = seed;
        this.plan = FaultPlan.of(seed);
        this.directory =
                Files.createDirectories(
                        Path.of("target", "soak", Long.toString(seed)).toAbsolutePath());
    }

    /** Plays it and returns the story of what went wrong; empty where nothing did. */
    String play() throws IOException, InterruptedException {
        try (SoakFleet fleet = new SoakFleet(directory, plan.places(), history)) {
            fleet.start();
            play(fleet);
        }
        Facts facts = new Facts(history);
        new RunChecks(facts, violations::add).check();
        new StopChecks(facts, violations::add).check();
        new ConfigChecks(facts, violations::add).check();
        history.problems().forEach(it -> violations.add(new Violation("PROBLEM", "", it)));
        checkLogs();
        String report = report(facts);
        Files.writeString(directory.resolve("report.txt"), report);
        return violations.isEmpty() ? "" : report;
    }

    private void play(SoakFleet fleet) throws InterruptedException {
        Balancer balancer = new Balancer(fleet.hosts());
        Callers callers = new Callers(fleet, balancer, history, seed);
        Prober prober = new Prober(fleet, history, seed);
        balancer.start();
        callers.start(plan.pressers());
        prober.start();
        Thread.sleep(WARM_UP_MILLIS);
        new FaultPlayer(fleet, history).play(plan.steps());
        callers.stopPressing();
        prober.checkRecovery();
        callers.stop();
        prober.stop();
        balancer.stop();
    }

    /** A host that met an error of its own has a line of it. */
    private void checkLogs() throws IOException {
        for (Path log : logs()) {
            try (Stream<String> lines = Files.lines(log)) {
                lines.filter(it -> it.contains("event=fault "))
                        .forEach(
                                it ->
                                        violations.add(
                                                new Violation(
                                                        "FAULT", "", log.getFileName() + it)));
            }
        }
    }

    private List<Path> logs() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(it -> it.toString().endsWith(".log")).sorted().toList();
        }
    }

    /** Returns counts of what was played. */
    String summary() {
        List<Call> calls = history.calls();
        long whole = calls.stream().filter(Call::succeeded).count();
        long promises = calls.stream().filter(Call::isPromise).count();
        long broken = calls.stream().filter(it -> it.end() == Call.End.BROKEN).count();
        return "seed=%d profile=%s calls=%d succeeded=%d refused=%d broken=%d runs=%d stops=%d violations=%d"
                .formatted(
                        seed,
                        plan.profile(),
                        calls.size(),
                        whole,
                        promises,
                        broken,
                        history.runs().size(),
                        history.stops().size(),
                        violations.size());
    }

    private String report(Facts facts) throws IOException {
        StringBuilder report = new StringBuilder(summary()).append('\n');
        for (Violation violation : violations.stream().limit(MOST_TOLD).toList()) {
            report.append(violation).append('\n').append(facts.story(violation.callId()));
            for (Path log : violation.callId().isEmpty() ? List.<Path>of() : logs()) {
                appendLines(report, log, "request=%s ".formatted(violation.callId()));
            }
        }
        report.append("faults:\n");
        history.faults().forEach(it -> report.append("  ").append(it).append('\n'));
        return report.toString();
    }

    private static void appendLines(StringBuilder report, Path log, String word)
            throws IOException {
        try (Stream<String> lines = Files.lines(log)) {
            lines.filter(it -> it.contains(word))
                    .forEach(
                            it ->
                                    report.append("  ")
                                            .append(log.getFileName())
                                            .append(' ')
                                            .append(it)
                                            .append('\n'));
        }
    }
}
