package org.orioleshed.admin;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpConnectTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** What all commands of {@code orioleshed-admin} share. */
public abstract class AdminCommand {
    static final String HOST_VARIABLE = "ORIOLESHED_ADMIN";
    static final String KEY_VARIABLE = "ORIOLESHED_KEY";

    private static final String DEFAULT_HOST = "http://127.0.0.1:8201";

    @AirlineModule HelpOption<AdminCommand> help;

    @Option(
            type = OptionType.COMMAND,
            name = "--host",
            title = "address",
            description =
                    "The admin address of any entry host; else ORIOLESHED_ADMIN, else "
                            + DEFAULT_HOST)
    String host;

    @Option(
            type = OptionType.COMMAND,
            name = "--key-file",
            title = "file",
            description = "A file with the operator's key; else ORIOLESHED_KEY holds the key")
    String keyFile;

    @Option(
            type = OptionType.COMMAND,
            name = "--json",
            description = "Write the answer as one line of JSON, for programs")
    boolean json;

    /** Returns the call that the arguments ask for. */
    abstract AdminClient.Call toCall() throws UsageException;

    /** Makes the call and writes the answer. */
    ExitCode run(Map<String, String> environment, PrintStream out, PrintStream err)
            throws UsageException {
        if (help != null && help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        AdminPrinter printer = new AdminPrinter(out, err, json);
        AdminClient.Call call = toCall();
        try (AdminClient client = new AdminClient(host(environment), key(environment))) {
            return exchange(client, call, printer);
        } catch (ConnectException | HttpConnectTimeoutException e) {
            err.println("error: cannot reach the entry host: " + e);
            return ExitCode.FAILED;
        } catch (IOException | UncheckedIOException e) {
            err.println("error: no whole answer from the entry host: " + e);
            return isChange(call) ? ExitCode.IN_DOUBT : ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    /** Makes the call; commands that make several override this. */
    ExitCode exchange(AdminClient client, AdminClient.Call call, AdminPrinter printer)
            throws IOException, InterruptedException {
        return printer.print(client.call(call));
    }

    private static boolean isChange(AdminClient.Call call) {
        return !call.method().equals("GET");
    }

    private URI host(Map<String, String> environment) throws UsageException {
        String text = host != null ? host : environment.getOrDefault(HOST_VARIABLE, DEFAULT_HOST);
        try {
            URI uri = URI.create(text);
            if ("http".equals(uri.getScheme()) && uri.getHost() != null) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            // Told below.
        }
        throw new UsageException("--host must be like " + DEFAULT_HOST + ": " + text);
    }

    private String key(Map<String, String> environment) throws UsageException {
        if (keyFile != null) {
            return readFile(keyFile).strip();
        }
        String key = environment.get(KEY_VARIABLE);
        if (key == null || key.isBlank()) {
            throw new UsageException("give the key by --key-file or " + KEY_VARIABLE);
        }
        return key;
    }

    static String readFile(String name) throws UsageException {
        try {
            return Files.readString(Path.of(name));
        } catch (IOException | IllegalArgumentException e) {
            throw new UsageException("cannot read " + name + ": " + e.getMessage());
        }
    }
}
