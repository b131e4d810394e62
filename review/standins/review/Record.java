package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The record of a run: what was sent, answered and run, with the time since the start. */
final class Record {
    private static final long START_NANOS = System.nanoTime();

    private final PrintWriter out;
    private final Map<String, String> runs = new ConcurrentHashMap<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Records that a worker begins to run a request. */
    void run(String request, String service, String line) {
        runs.put(request, service);
        add(line);
    }

    /** Returns the service that ran each request last. */
    Map<String, String> runs() {
        return runs;
    }

    static double seconds() {
        return (System.nanoTime() - START_NANOS) / 1e9;
    }

    synchronized void add(String line) {
        out.printf("%8.3f %s%n", seconds(), line);
    }

    static void sleepUntil(double seconds) throws InterruptedException {
        long millis = (long) ((seconds - seconds()) * 1000);
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }
}
