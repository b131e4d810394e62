package org.orioleshed.admin;

import com.github.rvesse.airline.annotations.Command;

/** Writes the shell's completion, which asks the program's own list of next words. */
@Command(name = "completion", description = "Write bash completion; use: source <(... completion)")
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
