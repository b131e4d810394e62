package org.orioleshed.rollout;

import java.util.List;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RolloutId;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * One rollout as the platform's store holds it, under {@link #key}.
 *
 * @param id the rollout
 * @param target the model or service that the rollout concerns
 * @param from the version that traffic leaves
 * @param to the version that traffic goes to
 * @param routes the routes of the rollout, at least one
 * @param plannedMillis when it was planned, in milliseconds since the epoch
 * @param completeByMillis when it must be completed, in milliseconds since the epoch
 * @param loads backend servers that must load the new version first; usually empty
 * @param state where it stands
 * @param step the step of share reached, from zero; meaningful while running
 * @param startedMillis when the first step was taken; zero before
 * @param fence the fencing number of the coordinator that wrote last; zero before the first
 * @param decidedMillis when the outcome was recorded; zero before
 * @param author who planned it, or who took it back
 * @param reason why, in a sentence
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
    /** The start of the keys of all rollouts. */
    public static final String KEY_PREFIX = "orioleshed/moves/";

    /** The longest author or reason, in characters. */
    public static final int MAX_TEXT = 1_000;

    /** Checks the arguments and copies the lists. */
    public RolloutRecord {
        if (id == null || target == null || from == null || to == null || state == null) {
            throw new IllegalArgumentException("id, target, versions and state must be given");
        }
        if (id.value().contains("/")) {
            throw new IllegalArgumentException("move must not contain a slash: " + id);
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
            throw new IllegalArgumentException("completeBy must lie after the planning");
        }
        if (step < 0) {
            throw new IllegalArgumentException("step must not be negative: " + step);
        }
        author = requireText(author, "author");
        reason = requireText(reason, "reason");
    }

    /** Returns a new rollout that nothing has happened to yet. */
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

    /** Returns the store's key of rollout {@code id}. */
    public static String key(RolloutId id) {
        return KEY_PREFIX + id;
    }

    /** Returns the JSON that {@link #parse} reads. */
    public Payload toPayload() {
        return RolloutRecordJson.write(this);
    }

    /**
     * Returns the record in {@code payload}.
     *
     * @throws BadRecordException when it is no valid record
     */
    public static RolloutRecord parse(Payload payload) throws BadRecordException {
        return RolloutRecordJson.read(payload);
    }

    /**
     * Returns this rollout at {@code newStep}, written by the coordinator with {@code newFence}.
     */
    RolloutRecord atStep(int newStep, long nowMillis, long newFence) {
        long started = startedMillis == 0 ? nowMillis : startedMillis;
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
                started,
                newFence,
                0,
                author,
                reason);
    }

    /**
     * Returns this rollout with its outcome.
     *
     * @throws IllegalStateException when it has one already
     * @throws IllegalArgumentException when {@code outcome} is none
     */
    public RolloutRecord decided(
            RolloutState outcome, long nowMillis, long newFence, String who, String why) {
        if (state.isOutcome()) {
            throw new IllegalStateException("move " + id + " is already " + state);
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
                who,
                why);
    }

    private static String requireText(String text, String what) {
        if (text == null || text.length() > MAX_TEXT) {
            throw new IllegalArgumentException(
                    what + " must be given, at most " + MAX_TEXT + " characters");
        }
        return text;
    }
}
