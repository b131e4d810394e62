package org.orioleshed.load;

import java.util.List;

/**
 * One kind of request in the mix.
 *
 * @param route the route
 * @param tier the tier's name
 * @param perSecond the rate at the full load of the deployment
 * @param workspaces the workspaces that send it; one that is named twice sends twice as much
 * @param deadlineMillis how long the caller waits, in milliseconds
 * @param ask what is asked for
 */
record Traffic(
        String route,
        String tier,
        double perSecond,
        List<String> workspaces,
        long deadlineMillis,
        Ask ask) {
    /** What a kind of request asks for. */
    sealed interface Ask {
        /**
         * Text from a model.
         *
         * @param prefixTokens the part of the prompt that a workspace's requests share
         * @param prompt the part that is each request's own
         * @param answer the answer
         */
        record Text(int prefixTokens, Sizes prompt, Sizes answer) implements Ask {}

        /**
         * A call to a plain service.
         *
         * @param call the call's name
         * @param repeatable whether it may run twice
         */
        record Call(String call, boolean repeatable) implements Ask {}
    }

    Traffic withRate(double factor) {
        return new Traffic(route, tier, perSecond * factor, workspaces, deadlineMillis, ask);
    }
}
