package org.orioleshed.rollout;

/**
 * Counters of runs. They only grow, so tallies of one incarnation of a host can be merged by
 * maximum, in any order and any number of times.
 *
 * @param runs runs that were not interrupted
 * @param failed failures attributed to the version
 * @param excused failures counted before that were later attributed to the content
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

    /** Returns the difference to {@code earlier}, whose counters must not be larger. */
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
