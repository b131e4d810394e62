package org.orioleshed.trial;

/** A way to queue, place and refuse requests. */
interface Policy {
    /** A caller sends a request, for the first time or once more. */
    void came(TrialRequest request, long nowNanos);

    /** A request's first event came. */
    void first(TrialRequest request, long nowNanos);

    /** A request was answered whole. */
    void ended(TrialRequest request, int events, long nowNanos);

    /** A request's caller has left, wherever the request is. */
    void left(TrialRequest request, long nowNanos);

    /** Time passed. */
    void tick(long nowNanos);

    /** What a policy may do. */
    interface Floor {
        /** Sends a request to an engine. */
        void send(TrialRequest request, int engine);

        /** Turns a request away. */
        void refuse(TrialRequest request, long retryAfterMillis);

        /** Returns how many runs an engine has now. */
        int load(int engine);

        /** Returns how many engines there are. */
        int engines();

        /** Returns how many runs an engine runs at once. */
        int slots();
    }
}
