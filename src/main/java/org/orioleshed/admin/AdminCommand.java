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

/** The base class of the commands of {@code orioleshed-admin} that call an entry host. */
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
                    "The admin address of any entry host; defaults to ORIOLESHED_ADMIN, then "
                            + DEFAULT_HOST)
    String host;

    @Option(
            type = OptionType.COMMAND,
            name = "--key-file",
            title = "file",
            description = "A file with the operator's key; defaults to the key in ORIOLESHED_KEY")
    String keyFile;

    @Option(
            type = OptionType.COMMAND,
            name = "--json",
            description = "Print the response as one line of JSON")
    boolean json;

    /** Converts the arguments to a call. */
    abstract AdminClient.Call toCall() throws UsageException;

    /** Sends the call and prints the response. */
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
            err.println("error: incomplete response from the entry host: " + e);
            return isChange(call) ? ExitCode.IN_DOUBT : ExitCode.FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    /** Sends the call and prints the response; overridden by commands that make several calls. */
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
            // Reported below.
        }
        throw new UsageException("--host must be a URL like " + DEFAULT_HOST + ", found " + text);
    }

    private String key(Map<String, String> environment) throws UsageException {
        if (keyFile != null) {
            return readFile(keyFile).strip();
        }
        String key = environment.get(KEY_VARIABLE);
        if (key == null || key.isBlank()) {
            throw new UsageException("operator key missing: use --key-file or set " + KEY_VARIABLE);
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
