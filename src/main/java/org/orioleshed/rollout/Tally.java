package org.orioleshed.rollout;

/**
 * Counters of runs. Each only grows, so tallies of one host's one incarnation merge by maximum,
 * whatever the order and however often they arrive.
 *
 * @param runs runs that ended by themselves
 * @param failed failures that the version is blamed for
 * @param excused failures counted before that turned out to be the content's fault
 * @param timed runs whose time could be compared with the old version's
 * @param slow compared runs that were slow
 */
public record Tally(long runs, long failed, long excused, long timed, long slow) {
    /** No runs. */
    public static final Tally NONE = new Tally(0, 0, 0, 0, 0);

    /** Checks the arguments. */
    public Tally {
        if (runs < 0 || failed < 0 || excused < 0 || timed < 0 || slow < 0) {
            throw new IllegalArgumentException("counters must not be negative");
        }
    }

    /** Returns the larger of each counter. */
    Tally max(Tally other) {
        return new Tally(
                Math.max(runs, other.runs),
                Math.max(failed, other.failed),
                Math.max(excused, other.excused),
                Math.max(timed, other.timed),
                Math.max(slow, other.slow));
    }

    /** Returns what was counted since {@code earlier}, which this is not below. */
    Tally since(Tally earlier) {
        return new Tally(
                runs - earlier.runs,
                failed - earlier.failed,
                excused - earlier.excused,
                timed - earlier.timed,
                slow - earlier.slow);
    }

    Tally plus(Tally other) {
        return new Tally(
                runs + other.runs,
                failed + other.failed,
                excused + other.excused,
                timed + other.timed,
                slow + other.slow);
    }
}
