package org.orioleshed.trial;

/** A policy that queues, places and refuses requests. */
interface TrialPolicy {
    /** Called when a caller sends a request, for the first time or as a retry. */
    void onArrival(TrialRequest request, long nowNanos);

    /** Called when the first event of a request is received. */
    void onFirstEvent(TrialRequest request, long nowNanos);

    /** Called when a request is completed. */
    void onCompleted(TrialRequest request, int events, long nowNanos);

    /** Called when the caller of a queued or running request leaves. */
    void onCallerLeft(TrialRequest request, long nowNanos);

    /** Called at a regular interval. */
    void onTick(long nowNanos);

    /** The engines and the actions available to a policy. */
    interface Context {
        /** Sends a request to an engine. */
        void send(TrialRequest request, int engine);

        /** Refuses a request. */
        void refuse(TrialRequest request, long retryAfterMillis);

        /** Returns the number of runs on an engine or on the way to it. */
        int load(int engine);

        /** Returns the number of engines. */
        int engines();

        /** Returns the number of slots of an engine. */
        int slots();
    }
}
