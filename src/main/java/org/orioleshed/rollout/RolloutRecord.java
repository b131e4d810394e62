package org.orioleshed.rollout;

import java.util.List;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * A rollout as stored in the platform's store under {@link #key}.
 *
 * @param id the rollout
 * @param target the model or service that the rollout concerns
 * @param from the old version
 * @param to the new version
 * @param routes the routes of the rollout, at least one
 * @param plannedMillis when it was planned, in milliseconds since the epoch
 * @param completeByMillis when it must be completed, in milliseconds since the epoch
 * @param loads backend servers that must load the new version first; usually empty
 * @param state the state of the rollout
 * @param step the index of the current step in {@link RolloutLimits#shares}; meaningful while
 *     running
 * @param startedMillis when the first step was taken; zero before
 * @param fence the fencing number of the coordinator that wrote last; zero before the first
 * @param decidedMillis when the outcome was recorded; zero before
 * @param author who planned the rollout, or who rolled it back
 * @param reason the reason, in a sentence
 */
public record RolloutRecord(
        RolloutId id,
        Target target,
        VersionId from,
        VersionId to,
        List<RouteId> routes,
        long plannedMillis,
        long completeByMillis,
        List<ServerId> loads,
        RolloutState state,
        int step,
        long startedMillis,
        long fence,
        long decidedMillis,
        String author,
        String reason) {
    /** Key prefix of all rollouts in the store. */
    public static final String KEY_PREFIX = "orioleshed/moves/";

    /** The maximum length of an author or reason, in characters. */
    public static final int MAX_TEXT_CHARS = 1_000;

    /** Checks the arguments and copies the lists. */
    public RolloutRecord {
        if (id == null || target == null || from == null || to == null || state == null) {
            throw new IllegalArgumentException("id, target, versions and state must be given");
        }
        if (id.value().contains("/")) {
            throw new IllegalArgumentException("rollout id must not contain '/': " + id);
        }
        if (from.equals(to)) {
            throw new IllegalArgumentException("from and to must differ: " + from);
        }
        routes = List.copyOf(routes);
        loads = List.copyOf(loads);
        if (routes.isEmpty()) {
            throw new IllegalArgumentException("routes must not be empty");
        }
        if (completeByMillis <= plannedMillis) {
            throw new IllegalArgumentException(
                    "completeByMillis must be after plannedMillis, found "
                            + completeByMillis
                            + " and "
                            + plannedMillis);
        }
        if (step < 0) {
            throw new IllegalArgumentException("step must not be negative: " + step);
        }
        author = requireText(author, "author");
        reason = requireText(reason, "reason");
    }

    /** Returns a new rollout in state {@link RolloutState#PLANNED}. */
    public static RolloutRecord plan(
            RolloutId id,
            Target target,
            VersionId from,
            VersionId to,
            List<RouteId> routes,
            long nowMillis,
            long completeByMillis,
            List<ServerId> loads,
            String author,
            String reason) {
        return new RolloutRecord(
                id,
                target,
                from,
                to,
                routes,
                nowMillis,
                completeByMillis,
                loads,
                RolloutState.PLANNED,
                0,
                0,
                0,
                0,
                author,
                reason);
    }

    /** Returns the key of rollout {@code id} in the store. */
    public static String key(RolloutId id) {
        return KEY_PREFIX + id;
    }

    /** Returns this record as JSON, as read by {@link #parse}. */
    public Payload toPayload() {
        return RolloutRecordJson.write(this);
    }

    /**
     * Parses a record from JSON.
     *
     * @throws BadRecordException when {@code payload} is not a valid record
     */
    public static RolloutRecord parse(Payload payload) throws BadRecordException {
        return RolloutRecordJson.read(payload);
    }

    /**
     * Returns this rollout at {@code newStep}, written by the coordinator with {@code newFence}.
     */
    RolloutRecord atStep(int newStep, long nowMillis, long newFence) {
        long startMillis = startedMillis == 0 ? nowMillis : startedMillis;
        return new RolloutRecord(
                id,
                target,
                from,
                to,
                routes,
                plannedMillis,
                completeByMillis,
                loads,
                RolloutState.RUNNING,
                newStep,
                startMillis,
                newFence,
                0,
                author,
                reason);
    }

    /**
     * Returns this rollout with its outcome.
     *
     * @throws IllegalStateException when it already has an outcome
     * @throws IllegalArgumentException when {@code outcome} is not an outcome
     */
    public RolloutRecord decided(
            RolloutState outcome,
            long nowMillis,
            long newFence,
            String newAuthor,
            String newReason) {
        if (state.isOutcome()) {
            throw new IllegalStateException("rollout " + id + " is already " + state);
        }
        if (!outcome.isOutcome()) {
            throw new IllegalArgumentException("not an outcome: " + outcome);
        }
        return new RolloutRecord(
                id,
                target,
                from,
                to,
                routes,
                plannedMillis,
                completeByMillis,
                loads,
                outcome,
                step,
                startedMillis,
                newFence,
                nowMillis,
                newAuthor,
                newReason);
    }

    private static String requireText(String text, String name) {
        if (text == null || text.length() > MAX_TEXT_CHARS) {
            throw new IllegalArgumentException(
                    name + " must be given, at most " + MAX_TEXT_CHARS + " characters");
        }
        return text;
    }
}
