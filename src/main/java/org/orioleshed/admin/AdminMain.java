package org.orioleshed.admin;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.help.suggester.SuggestCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;
import java.util.Map;

/** The program {@code orioleshed-admin}, the command line client of the admin API. */
@Cli(
        name = "orioleshed-admin",
        description = "Controls and inspects entry hosts through their admin API",
        commands = {
            ViewCommands.Hosts.class,
            ViewCommands.Servers.class,
            ViewCommands.Requests.class,
            CompletionCommand.class,
            SuggestCommand.class,
            Help.class
        },
        groups = {
            @Group(
                    name = "settings",
                    description = "Show and change the settings tree",
                    commands = {
                        SettingsCommands.Get.class,
                        SettingsCommands.Set.class,
                        SettingsCommands.Unset.class,
                        SettingsCommands.Diff.class,
                        SettingsCommands.History.class,
                        SettingsCommands.Status.class,
                        SettingsCommands.Check.class
                    }),
            @Group(
                    name = "moves",
                    description = "Plan, follow and roll back rollouts (moves) between versions",
                    commands = {
                        RolloutCommands.Plan.class,
                        RolloutCommands.ListAll.class,
                        RolloutCommands.Show.class,
                        RolloutCommands.RollBack.class,
                        RolloutCommands.Watch.class
                    }),
            @Group(
                    name = "quarantine",
                    description =
                            "Show and release what a gateway quarantined; --host is its metrics address",
                    commands = {
                        ViewCommands.QuarantineList.class,
                        ViewCommands.QuarantineRelease.class
                    }),
            @Group(
                    name = "poison",
                    description =
                            "Show and release content quarantined because it crashed backend servers",
                    commands = {ViewCommands.PoisonList.class, ViewCommands.PoisonClear.class})
        })
@ExitCodes(
        codes = {0, 1, 2, 3, 4, 5, 6, 7, 8},
        descriptions = {
            "Done",
            "The entry host failed or could not be reached",
            "Invalid arguments",
            "The input is invalid; nothing has changed",
            "Conflict with a concurrent change; nothing has changed",
            "Not found",
            "The key is unknown, or its role does not allow it",
            "The store is unavailable; nothing has changed",
            "The response was lost; a change may still take effect"
        })
public final class AdminMain {
    private AdminMain() {}

    /** Runs the program and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args, System.getenv(), System.out, System.err));
    }

    /** Runs the program and returns its exit code. */
    static int run(
            String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
        try {
            String[] words = args.length == 0 ? new String[] {"help"} : args;
            Object command =
                    new com.github.rvesse.airline.Cli<Object>(AdminMain.class).parse(words);
            if (command instanceof AdminCommand admin) {
                return admin.run(environment, out, err).code();
            }
            ((Runnable) command).run();
            return ExitCode.OK.code();
        } catch (ParseException | UsageException e) {
            err.println("error: " + e.getMessage());
            err.println("Try: orioleshed-admin help");
            return ExitCode.USAGE.code();
        }
    }
}
