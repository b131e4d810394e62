package org.orioleshed.entry;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Path;
import org.orioleshed.http.HttpClients;
import org.orioleshed.settings.EntrySettings;
import org.orioleshed.settings.Problem;
import org.orioleshed.store.EtcdStore;
import org.orioleshed.store.Store;

/** The command line program of an entry host. */
@Command(
        name = "orioleshed-entry",
        description =
                "Serves callers as one of several identical entry hosts. Exit code 0 after a graceful stop,"
                        + " 1 when it can't start, 2 for bad arguments or settings.")
public final class EntryMain {
    /** One line per event: the time, then key=value pairs. */
    private static final String LOG_FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";

    private static final String LOG_FORMAT = "time=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n";
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_SETTINGS = 2;

    @Option(
            name = "--settings",
            title = "FILE",
            description = "The settings file of this host, as JSON with comments")
    private String settingsFile;

    @Option(name = "--check", description = "Only validate the file and print all problems")
    private boolean checkOnly;

    @Option(
            name = {"-h", "--help"},
            description = "Print this help")
    private boolean helpRequested;

    /** Runs the program. */
    public static void main(String[] arguments) throws Exception {
        System.setProperty(LOG_FORMAT_PROPERTY, LOG_FORMAT);
        HttpClients.allowConnectionField();
        CallerServer.limitSlowCallers();
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) throws Exception {
        SingleCommand<EntryMain> parser = SingleCommand.singleCommand(EntryMain.class);
        try {
            EntryMain main = parser.parse(arguments);
            if (main.helpRequested) {
                Help.help(parser.getCommandMetadata(), System.out);
                return EXIT_OK;
            }
            return main.call();
        } catch (ParseException e) {
            System.err.println("error: " + e.getMessage());
            return EXIT_BAD_SETTINGS;
        }
    }

    private int call() throws InterruptedException {
        if (settingsFile == null) {
            System.err.println("error: --settings FILE must be given");
            return EXIT_BAD_SETTINGS;
        }
        return switch (EntrySettings.load(Path.of(settingsFile))) {
            case EntrySettings.Result.Problems problems -> {
                for (Problem problem : problems.problems()) {
                    System.err.println("error: " + problem);
                }
                yield EXIT_BAD_SETTINGS;
            }
            case EntrySettings.Result.Loaded loaded ->
                    checkOnly ? EXIT_OK : serve(loaded.settings());
        };
    }

    private static int serve(EntrySettings settings) throws InterruptedException {
        try (Store store = new EtcdStore(settings.storeAddresses(), EtcdStore.Options.DEFAULT);
                EntryProcess process = new EntryProcess(settings, store)) {
            process.start();
            process.awaitStop();
            return EXIT_OK;
        } catch (IOException | IllegalStateException e) {
            System.err.println("error: " + e.getMessage());
            return EXIT_FAILED;
        }
    }
}
