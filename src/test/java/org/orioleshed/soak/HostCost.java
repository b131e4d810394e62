package org.orioleshed.soak;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Measures the processor time of host processes by thread name, at the start and after a time under
 * load. Started manually as {@code HostCost HOSTS SECONDS REQUESTS_PER_SECOND_AND_HOST}.
 */
public final class HostCost {
    private static final int SLOTS = 12;
    private static final int EVENTS = 12;
    private static final long PAUSE_MILLIS = 30;
    private static final long DEADLINE_MILLIS = 5_000;
    private static final int PROMPT_TOKENS = 100;
    private static final double TICKS_PER_SECOND = 100;

    private HostCost() {}

    /** Runs the measurement. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        int hosts = Integer.parseInt(arguments[0]);
        int seconds = Integer.parseInt(arguments[1]);
        double rate = Double.parseDouble(arguments[2]);
        Path directory = Files.createTempDirectory("host-cost");
        History history = new History();
        try (SoakFleet fleet = new SoakFleet(directory, hosts, SLOTS, false, history)) {
            fleet.start();
            print("start", hosts);
            AtomicInteger succeeded = new AtomicInteger();
            long pauseMillis = (long) (1_000 / rate);
            for (SoakHost host : fleet.hosts()) {
                Thread.ofVirtual().start(() -> sendCalls(host, pauseMillis, succeeded));
            }
            Thread.sleep(seconds * 1_000L);
            print("after %d s, %d successful responses".formatted(seconds, succeeded.get()), hosts);
        }
        System.exit(0);
    }

    private static void sendCalls(SoakHost host, long pauseMillis, AtomicInteger succeeded) {
        for (int number = 0; ; number++) {
            CallKind kind = CallKind.ALL.get(number % CallKind.ALL.size());
            Work work = Work.of(kind.prefix(), EVENTS, PAUSE_MILLIS);
            Call.Request request =
                    Call.Request.of(kind, work, Operator.PLAIN_KEY, PROMPT_TOKENS, DEADLINE_MILLIS);
            String id = "c%d-%d".formatted(host.index(), number);
            Thread.ofVirtual()
                    .start(
                            () -> {
                                if (CallerSocket.callOnNewConnection(id, request, host)
                                        .succeeded()) {
                                    succeeded.incrementAndGet();
                                }
                            });
            try {
                Thread.sleep(pauseMillis);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void print(String when, int hosts) throws IOException {
        Map<String, Double> millisByThread = new TreeMap<>();
        for (ProcessHandle child : ProcessHandle.current().children().toList()) {
            for (Path task : tasks(child.pid())) {
                addTicks(Files.readString(task.resolve("stat")), millisByThread);
            }
        }
        double sumMillis = millisByThread.values().stream().mapToDouble(it -> it).sum();
        System.out.printf("%s: %.0f ms of processor time per host%n", when, sumMillis / hosts);
        millisByThread.entrySet().stream()
                .filter(entry -> entry.getValue() > hosts)
                .forEach(e -> System.out.printf("  %8.1f %s%n", e.getValue() / hosts, e.getKey()));
    }

    private static List<Path> tasks(long pid) throws IOException {
        List<Path> result = new ArrayList<>();
        try (DirectoryStream<Path> tasks =
                Files.newDirectoryStream(Path.of("/proc/%d/task".formatted(pid)))) {
            tasks.forEach(result::add);
        }
        return result;
    }

    private static void addTicks(String stat, Map<String, Double> millisByThread) {
        String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        millisByThread.merge(name, ticks * 1_000 / TICKS_PER_SECOND, Double::sum);
    }
}
