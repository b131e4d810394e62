package org.orioleshed.move;

import java.util.List;
import org.orioleshed.fleet.Target;
import org.orioleshed.model.MoveId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/**
 * One move as the platform's store holds it, under {@link #key}.
 *
 * @param id the move
 * @param target the model or service that moves
 * @param from the version that traffic leaves
 * @param to the version that traffic goes to
 * @param routes the routes that move, at least one
 * @param plannedMillis when it was planned, in milliseconds since the epoch
 * @param completeByMillis when it must be completed, in milliseconds since the epoch
 * @param loads backend servers that must load the new version first; usually empty
 * @param state where it stands
 * @param step the step of share reached, from zero; meaningful while running
 * @param startedMillis when the first step was taken; zero before
 * @param fence the fencing number of the mover that wrote last; zero before the first
 * @param decidedMillis when the outcome was recorded; zero before
 * @param author who planned it, or who took it back
 * @param reason why, in a sentence
 */
public record MoveRecord(
        MoveId id,
        Target target,
        VersionId from,
        VersionId to,
        List<RouteId> routes,
        long plannedMillis,
        long completeByMillis,
        List<ServerId> loads,
        MoveState state,
        int step,
        long startedMillis,
        long fence,
        long decidedMillis,
        String author,
        String reason) {
    /** The start of the keys of all moves. */
    public static final String KEY_PREFIX = "orioleshed/moves/";

    /** The longest author or reason, in characters. */
    public static final int MAX_TEXT = 1_000;

    /** Checks the arguments and copies the lists. */
    public MoveRecord {
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

    /** Returns a new move that nothing has happened to yet. */
    public static MoveRecord plan(
            MoveId id,
            Target target,
            VersionId from,
            VersionId to,
            List<RouteId> routes,
            long nowMillis,
            long completeByMillis,
            List<ServerId> loads,
            String author,
            String reason) {
        return new MoveRecord(
                id,
                target,
                from,
                to,
                routes,
                nowMillis,
                completeByMillis,
                loads,
                MoveState.PLANNED,
                0,
                0,
                0,
                0,
                author,
                reason);
    }

    /** Returns the store's key of move {@code id}. */
    public static String key(MoveId id) {
        return KEY_PREFIX + id;
    }

    /** Returns the JSON that {@link #parse} reads. */
    public Payload toPayload() {
        return MoveRecordJson.write(this);
    }

    /**
     * Returns the record in {@code payload}.
     *
     * @throws BadRecordException when it is no valid record
     */
    public static MoveRecord parse(Payload payload) throws BadRecordException {
        return MoveRecordJson.read(payload);
    }

    /** Returns this move at {@code newStep}, written by the mover with {@code newFence}. */
    MoveRecord atStep(int newStep, long nowMillis, long newFence) {
        long started = startedMillis == 0 ? nowMillis : startedMillis;
        return new MoveRecord(
                id,
                target,
                from,
                to,
                routes,
                plannedMillis,
                completeByMillis,
                loads,
                MoveState.RUNNING,
                newStep,
                started,
                newFence,
                0,
                author,
                reason);
    }

    /**
     * Returns this move with its outcome.
     *
     * @throws IllegalStateException when it has one already
     * @throws IllegalArgumentException when {@code outcome} is none
     */
    public MoveRecord decided(
            MoveState outcome, long nowMillis, long newFence, String who, String why) {
        if (state.isOutcome()) {
            throw new IllegalStateException("move " + id + " is already " + state);
        }
        if (!outcome.isOutcome()) {
            throw new IllegalArgumentException("not an outcome: " + outcome);
        }
        return new MoveRecord(
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
