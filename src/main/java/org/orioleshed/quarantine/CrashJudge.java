package org.orioleshed.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.orioleshed.model.PartId;

/**
 * Decides what caused crashes. What crashes each server that runs it is in a run of each of its
 * crashes, and no later run of it is answered; what is sound is cleared by its answers, or has few
 * crashes in common with each other suspect.
 */
final class CrashJudge {
    /** The fewest crashes that prove anything. */
    static final int MIN_CRASHES = 3;

    /** The number of crashes at which a suspect is guilty although others remain. */
    private static final int ENOUGH_CRASHES = 5;

    /** The number of crashes at which a whole content is guilty although others remain. */
    private static final int ENOUGH_CONTENT_CRASHES = 4;

    /** The fewest crashes that nothing in quarantine explains. */
    private static final int MIN_UNEXPLAINED = 2;

    /** A part that was answered before has this long to be answered again. */
    private static final long ANSWER_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final List<Crash> crashes;
    private final Predicate<PartId> isKnown;
    private final BreakRate breakRate;
    private final long nowNanos;
    private final Map<Suspect, List<Crash>> crashesBySuspect = new HashMap<>();

    /**
     * Creates a judge of the crashes so far.
     *
     * @param crashes the counted crashes, in order of time
     * @param isKnown whether a part was answered before, so that it is less likely to be guilty
     * @param breakRate how often runs break at their beginning
     */
    CrashJudge(List<Crash> crashes, Predicate<PartId> isKnown, BreakRate breakRate, long nowNanos) {
        this.crashes = crashes;
        this.isKnown = isKnown;
        this.breakRate = breakRate;
        this.nowNanos = nowNanos;
        for (Crash crash : crashes) {
            for (Suspect suspect : crash.suspects()) {
                crashesBySuspect.computeIfAbsent(suspect, key -> new ArrayList<>()).add(crash);
            }
        }
    }

    /** Returns the crashes of a suspect that no answer cleared it of. */
    List<Crash> crashes(Suspect suspect) {
        return crashesBySuspect.getOrDefault(suspect, List.of());
    }

    /**
     * Returns the guilty suspects that are not excluded: the one with most crashes, and those that
     * can't be told from it because they have the same crashes.
     */
    Set<Suspect> guilty(Set<Suspect> excluded) {
        List<Suspect> all =
                crashesBySuspect.entrySet().stream()
                        .filter(entry -> entry.getValue().size() >= MIN_CRASHES)
                        .map(Map.Entry::getKey)
                        .filter(suspect -> !excluded.contains(suspect))
                        .filter(this::isGuilty)
                        .toList();
        Optional<Suspect> worst =
                all.stream()
                        .max(
                                Comparator.comparing((Suspect suspect) -> !isKnown(suspect))
                                        .thenComparing(suspect -> crashes(suspect).size())
                                        .thenComparing(Suspect::toString));
        return all.stream()
                .filter(suspect -> isKnown(suspect) == isKnown(worst.orElseThrow()))
                .filter(suspect -> crashes(suspect).equals(crashes(worst.orElseThrow())))
                .collect(Collectors.toSet());
    }

    private boolean isKnown(Suspect suspect) {
        return suspect instanceof Suspect.Part part && isKnown.test(part.id());
    }

    private boolean isGuilty(Suspect suspect) {
        List<Crash> unexplained =
                crashes(suspect).stream().filter(crash -> !crash.isExplained()).toList();
        return switch (suspect) {
            case Suspect.Content content -> isGuilty(content, unexplained);
            case Suspect.Part part -> isGuilty(part, unexplained);
        };
    }

    /** Decides on a whole content. Its own parts are no rivals: holding it holds no other. */
    private boolean isGuilty(Suspect.Content content, List<Crash> unexplained) {
        int count = unexplained.size();
        if (count < MIN_CRASHES) {
            return false;
        }
        return count >= ENOUGH_CONTENT_CRASHES
                || largestOverlap(content, unexplained, rival -> true) < count;
    }

    /**
     * Decides on a part. Three or four crashes are enough if each other suspect lacks two of them;
     * five, if nothing likelier has all of them.
     */
    private boolean isGuilty(Suspect.Part part, List<Crash> unexplained) {
        List<Crash> all = crashes(part);
        if (isOneContent(all, part)) {
            return false;
        }
        if (!breakRate.isUnlikely(all.size())) {
            return isInAllCrashes(part, unexplained);
        }
        if (all.size() >= ENOUGH_CRASHES && unexplained.size() >= MIN_UNEXPLAINED) {
            return isGuiltyOfEnough(part, all);
        }
        int count = unexplained.size();
        return count >= MIN_CRASHES
                && !isKnown(part)
                && largestOverlap(part, unexplained, rival -> true) <= count - 2;
    }

    /**
     * Decides on a part where so many runs break that sound parts, too, have several crashes: it is
     * guilty if it has all crashes of its time, and nothing else has as many of them.
     */
    private boolean isInAllCrashes(Suspect.Part part, List<Crash> unexplained) {
        if (isKnown(part) || unexplained.size() < ENOUGH_CRASHES) {
            return false;
        }
        long fromNanos = unexplained.getFirst().firstNanos();
        long meanwhile =
                crashes.stream()
                        .filter(crash -> !crash.isExplained() && crash.firstNanos() >= fromNanos)
                        .count();
        return unexplained.size() == meanwhile && isAhead(part, unexplained);
    }

    /** Decides on a part with enough crashes; gives sound parts time to be answered. */
    private boolean isGuiltyOfEnough(Suspect.Part part, List<Crash> all) {
        Crash enough = all.get(ENOUGH_CRASHES - 1);
        boolean waited = nowNanos - enough.firstNanos() >= ANSWER_WAIT_NANOS;
        return waited || (!isKnown(part) && isAhead(part, all));
    }

    /**
     * Returns whether no likelier suspect has as many of these crashes. A part that was answered
     * before is less likely, unless it has more crashes elsewhere.
     */
    private boolean isAhead(Suspect.Part part, List<Crash> crashesOfPart) {
        Predicate<Suspect> isLikelier =
                rival -> !isKnown(rival) || crashes(rival).size() > crashes(part).size() + 1;
        return largestOverlap(part, crashesOfPart, isLikelier) < crashesOfPart.size();
    }

    /** Returns whether a single content held the part in all of these crashes. */
    private static boolean isOneContent(List<Crash> crashes, Suspect.Part part) {
        return crashes.stream()
                .map(crash -> crash.contentsWith(part.id()))
                .reduce(
                        (some, others) -> {
                            Set<Long> common = new HashSet<>(some);
                            common.retainAll(others);
                            return common;
                        })
                .filter(common -> !common.isEmpty())
                .isPresent();
    }

    /** Returns the largest number of these crashes that another suspect may have caused, too. */
    private int largestOverlap(Suspect suspect, List<Crash> crashes, Predicate<Suspect> isRival) {
        Map<Suspect, Integer> overlaps = new HashMap<>();
        for (Crash crash : crashes) {
            Set<Suspect> rivals = new HashSet<>(crash.suspects());
            rivals.remove(suspect);
            if (suspect instanceof Suspect.Content content) {
                crash.partsByContent()
                        .get(content.fingerprint())
                        .forEach(part -> rivals.remove(new Suspect.Part(part)));
            }
            rivals.removeIf(isRival.negate());
            rivals.forEach(rival -> overlaps.merge(rival, 1, Integer::sum));
        }
        return overlaps.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}
