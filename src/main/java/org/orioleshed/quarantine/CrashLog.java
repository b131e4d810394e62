package org.orioleshed.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Formats what is believed of crashes, in lines of bounded length. */
final class CrashLog {
    private static final int MAX_LISTED = 8;

    private CrashLog() {}

    /** Formats a crash that counts from now on; {@code evidence} names how it was recognized. */
    static String counted(Crash crash, String evidence, long nowNanos) {
        Collection<Suspect> suspects = crash.suspects();
        Stream<String> parts =
                suspects.stream().map(Suspect::toString).sorted(Comparator.reverseOrder());
        return "event=server_crashed server=%s start=%d since_break_ms=%d"
                        .formatted(
                                crash.server().id(),
                                crash.server().startMillis(),
                                crash.ageMillis(nowNanos))
                + " by_evidence=%s runs=%d suspects=%d first=%s"
                        .formatted(evidence, crash.runs(), suspects.size(), list(parts));
    }

    private static String list(Stream<String> texts) {
        return texts.limit(MAX_LISTED).collect(Collectors.joining(",", "[", "]"));
    }

    /** Formats that something is quarantined. */
    static String held(CrashReport.Held held, String why) {
        return "event=quarantined suspect=%s crashes=%d times=%d hold_ms=%d %s"
                .formatted(held.suspect(), held.crashes(), held.times(), held.leftMillis(), why);
    }

    /** Formats that another host quarantined something. */
    static String learned(CrashReport.Held held) {
        return "event=quarantine_learned suspect=%s crashes=%d times=%d left_ms=%d"
                .formatted(held.suspect(), held.crashes(), held.times(), held.leftMillis());
    }

    /** Formats why a suspect is guilty, and why the others in the same crashes are not. */
    static String reasons(Suspect suspect, List<Crash> crashes, CrashJudge judge, long nowNanos) {
        Stream<String> cleared =
                crashes.stream()
                        .flatMap(crash -> crash.clearedParts().stream())
                        .distinct()
                        .map(part -> part + ":answered");
        Stream<String> others =
                crashes.stream()
                        .flatMap(crash -> crash.suspects().stream())
                        .distinct()
                        .filter(other -> !other.equals(suspect))
                        .sorted(Comparator.comparing(other -> -judge.crashes(other).size()))
                        .map(other -> other + ":" + judge.crashes(other).size() + "_crashes");
        Stream<String> servers = crashes.stream().map(crash -> crash.server().id().value());
        return "first_age_ms=%d last_age_ms=%d servers=%s cleared=%s others=%s"
                .formatted(
                        crashes.getFirst().ageMillis(nowNanos),
                        crashes.getLast().ageMillis(nowNanos),
                        list(servers),
                        list(cleared),
                        list(others));
    }
}
