package org.orioleshed.request;

import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/** The claims on keys of non-repeatable calls, kept in the platform's store. */
public interface Claims {
    /**
     * Claims a key for a run. {@link Listener#onClaimed} reports the result, at the latest when the
     * wait for the store times out.
     *
     * @param replaces the run of an earlier claim that is proved never to be sent; empty if the key
     *     must be unclaimed
     */
    void claim(long nowNanos, RequestKey key, RunId run, Optional<RunId> replaces);

    /** Abandons a pending claim; if its write is applied later, its run is never sent. */
    void abandon(RequestKey key, RunId run);

    /** Records the outcome of a claimed run with the next batched write. */
    void record(long nowNanos, RequestKey key, RunId run, Outcome outcome);

    /** Looks up a key without claiming it. {@link Listener#onLookedUp} reports the result. */
    void lookUp(long nowNanos, long ticket, RequestKey key);

    /** The result of a claim or lookup. */
    sealed interface Result {
        /** The claim is stored; the run may be sent. */
        record Acquired() implements Result {}

        /**
         * Another run holds the key.
         *
         * @param holder the run that claimed the key; contains the host and its incarnation
         * @param outcome its outcome, if recorded
         */
        record Taken(RunId holder, Optional<Outcome> outcome) implements Result {
            /** Returns the host that claimed the key. */
            public HostId host() {
                return holder.request().host();
            }
        }

        /** The key is not claimed. */
        record Free() implements Result {}

        /** The store did not answer in time or rejected the operation. */
        record Unavailable() implements Result {}
    }

    /** Receives the results of claims and lookups. */
    interface Listener {
        /** Called when a pending claim is settled; never called for an abandoned claim. */
        void onClaimed(long nowNanos, RequestKey key, RunId run, Result result);

        /** Called when a lookup is complete. */
        void onLookedUp(long nowNanos, long ticket, RequestKey key, Result result);
    }
}
