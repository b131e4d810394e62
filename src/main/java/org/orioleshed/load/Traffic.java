package org.orioleshed.load;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One kind of request in a mix.
 *
 * @param route the route
 * @param tier the name of the tier
 * @param perSecond the rate in requests per second
 * @param workspaces the sending workspaces; a repeated entry multiplies the share of a workspace
 * @param deadlineMillis the time after which the caller gives up, in milliseconds
 * @param payload the content of the request
 */
record Traffic(
        String route,
        String tier,
        double perSecond,
        List<String> workspaces,
        long deadlineMillis,
        @JsonProperty("ask") Payload payload) {
    /** The content of a kind of request. */
    sealed interface Payload {
        /**
         * A request for text from a model.
         *
         * @param prefixTokens the length of the prompt prefix shared by a workspace and route, in
         *     tokens
         * @param prompt the length of the rest of the prompt
         * @param answer the length of the answer
         */
        record Text(int prefixTokens, Sizes prompt, Sizes answer) implements Payload {}

        /**
         * A call to a plain service.
         *
         * @param call the name of the call
         * @param repeatable whether the call may run more than once
         */
        record Call(String call, boolean repeatable) implements Payload {}
    }

    Traffic withRate(double factor) {
        return new Traffic(route, tier, perSecond * factor, workspaces, deadlineMillis, payload);
    }
}
