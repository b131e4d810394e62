package org.orioleshed.admin;

import com.github.rvesse.airline.annotations.Command;

/** Prints a bash completion script, which gets its words from the {@code suggest} command. */
@Command(
        name = "completion",
        description = "Print a bash completion script; use: source <(... completion)")
public final class CompletionCommand implements Runnable {
    private static final String SCRIPT =
            """
            _orioleshed_admin() {
                local words
                words=$(orioleshed-admin suggest "${COMP_WORDS[@]:1:COMP_CWORD-1}" 2>/dev/null)
                COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
            }
            complete -F _orioleshed_admin orioleshed-admin
            """;

    @Override
    public void run() {
        System.out.print(SCRIPT);
    }
}
