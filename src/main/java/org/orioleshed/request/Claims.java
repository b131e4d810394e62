package org.orioleshed.request;

import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/** The claims on keys of non-repeatable calls, kept in the platform's store. */
public interface Claims {
    /**
     * Claims a key for a run; answered by {@link Listener#onClaimed}, at the latest when the store
     * was waited for long enough.
     *
     * @param replaces the run of an earlier claim that is proved never to be sent; empty when the
     *     key must be unclaimed
     */
    void claim(long nowNanos, RequestKey key, RunId run, Optional<RunId> replaces);

    /** Gives up on a claim under way; if it lands later, its run is never sent. */
    void abandon(RequestKey key, RunId run);

    /** Records the outcome of a claimed run in the next group of writes. */
    void record(long nowNanos, RequestKey key, RunId run, Outcome outcome);

    /** Looks a key up without claiming it; answered by {@link Listener#onLookedUp}. */
    void lookUp(long nowNanos, long ticket, RequestKey key);

    /** What became of a claim. */
    sealed interface Result {
        /** The claim stands in the store; the run may be sent. */
        record Acquired() implements Result {}

        /**
         * Another run has the key.
         *
         * @param holder the run that claimed the key; names the host and its incarnation
         * @param outcome its outcome, when recorded
         */
        record Taken(RunId holder, Optional<Outcome> outcome) implements Result {
            /** Returns the host that claimed the key. */
            public HostId host() {
                return holder.request().host();
            }
        }

        /** No claim stands for the key. */
        record Free() implements Result {}

        /** The store did not answer in time, or refused. */
        record Unavailable() implements Result {}
    }

    /** Hears what became of claims. */
    interface Listener {
        /** A claim under way was settled. Never called for an abandoned one. */
        void onClaimed(long nowNanos, RequestKey key, RunId run, Result result);

        /** A key was looked up. */
        void onLookedUp(long nowNanos, long ticket, RequestKey key, Result result);
    }
}
