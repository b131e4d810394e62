package org.orioleshed.soak;

import com.google.common.base.Splitter;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of a host, which copies its output to a log with the time of each line. */
final class HostProcess {
    private static final List<String> JVM_OPTIONS =
            List.of(
                    "-Xmx96m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xshare:auto",
                    "-XX:MaxDirectMemorySize=48m",
                    "-Dio.netty.allocator.numHeapArenas=1",
                    "-Dio.netty.allocator.numDirectArenas=1");

    /**
     * The command that runs a host's main class, for measurements of other runtimes and options.
     */
    private static final String COMMAND = System.getProperty("soak.command", "");

    private static final long LOG_COPY_MILLIS = 2_000;

    private final Process process;
    private final Thread logCopier;
    private final Path log;
    private final History history;

    HostProcess(Path settings, Path log, History history) throws IOException {
        this.log = log;
        this.history = history;
        ProcessBuilder builder = new ProcessBuilder();
        builder.command().addAll(javaCommand());
        builder.command().add(HostMain.class.getName());
        builder.environment().put("ORIOLESHED_BOOT", settings.toString());
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        builder.redirectErrorStream(true);
        process = builder.start();
        logCopier = Thread.ofPlatform().daemon().name("log").start(this::copyLog);
    }

    private static List<String> javaCommand() {
        if (!COMMAND.isEmpty()) {
            return Splitter.on(' ').omitEmptyStrings().splitToList(COMMAND);
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", classPath()));
        return command;
    }

    /** Returns the class path, also where Surefire passes it in the manifest of a jar. */
    private static String classPath() {
        String testClassPath = System.getProperty("surefire.test.class.path");
        return testClassPath == null ? System.getProperty("java.class.path") : testClassPath;
    }

    private void copyLog() {
        try (BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        process.getInputStream(), StandardCharsets.UTF_8));
                BufferedWriter out =
                        Files.newBufferedWriter(
                                log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            out.write("%7d started pid=%d%n".formatted(nowMillis(), process.pid()));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                out.write("%7d %s%n".formatted(nowMillis(), line));
            }
            out.write("%7d ended%n".formatted(nowMillis()));
        } catch (IOException e) {
            history.addProblem("copying to the log " + log + " failed: " + e.getMessage());
        }
    }

    private long nowMillis() {
        return history.millis(System.nanoTime());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void terminate() {
        var unused = process.toHandle().destroy();
    }

    /** Sends a signal through {@code kill}, since {@link Process} has no method for it. */
    void signal(String name) {
        if (!isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            history.addProblem("sending the signal " + name + " failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits for the process to exit, kills it after a time, and waits until its log is complete.
     */
    void awaitExitOrKill(long millis) throws InterruptedException {
        try {
            var unused = process.waitFor(millis, TimeUnit.MILLISECONDS);
        } finally {
            var unused = process.toHandle().destroyForcibly();
        }
        process.waitFor();
        logCopier.join(LOG_COPY_MILLIS);
    }
}
