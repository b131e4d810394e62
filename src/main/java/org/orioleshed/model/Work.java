package org.orioleshed.model;

import java.util.List;

/** The work that a request requires. */
public sealed interface Work {
    /**
     * Text generation by a model engine.
     *
     * @param promptTokens the prompt's estimated length, in tokens
     * @param maxOutputTokens the maximum number of output tokens
     * @param prefixHashes hashes of the prompt's prefixes, the shortest first; each prefix is
     *     longer than the one before by a block of {@link #PREFIX_BLOCK_TOKENS} tokens
     */
    record Generate(int promptTokens, int maxOutputTokens, List<Long> prefixHashes)
            implements Work {
        /** Copies the list. */
        public Generate {
            prefixHashes = List.copyOf(prefixHashes);
        }
    }

    /**
     * A call to a plain service.
     *
     * @param call the name of the call, such as {@code renew}
     * @param repeatable whether the service may run the call more than once
     */
    record Call(String call, boolean repeatable) implements Work {}

    /** The length of a prefix block, in tokens. */
    int PREFIX_BLOCK_TOKENS = 64;
}
