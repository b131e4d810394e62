package org.orioleshed.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.orioleshed.membership.Member;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ServiceId;

/**
 * Chooses the relay for a request: a live host that did not report that it can't reach the pool,
 * preferably in another failure domain if most hosts of this one reported that, with the fewest
 * requests of this host. Pure, except for ties, which {@code random} breaks.
 */
final class RelaySelector {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Hosts repeat their report every 500 ms; two lost reports in a row are tolerated. */
    static final long REPORT_MILLIS = 1_600;

    /** A relay that refused or could not be reached is chosen last for this long. */
    static final long AVOID_MILLIS = 500;

    private final Member self;
    private final RandomGenerator random;
    private final Map<HostId, Report> reports = new HashMap<>();
    private final Map<HostId, Long> avoidedUntilNanos = new HashMap<>();
    private final Map<HostId, Integer> inFlight = new HashMap<>();

    private record Report(Set<ServiceId> lost, long untilNanos) {}

    RelaySelector(Member self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /** Takes a host's report of the pools that it can't reach. */
    void reported(HostId host, Set<ServiceId> lost, long nowNanos) {
        if (lost.isEmpty()) {
            reports.remove(host);
        } else {
            reports.put(
                    host, new Report(Set.copyOf(lost), nowNanos + REPORT_MILLIS * NANOS_PER_MILLI));
        }
    }

    /** Records that a relay refused a request or could not be reached. */
    void avoid(HostId relay, long nowNanos) {
        avoidedUntilNanos.put(relay, nowNanos + AVOID_MILLIS * NANOS_PER_MILLI);
    }

    void sent(HostId relay) {
        inFlight.merge(relay, 1, Integer::sum);
    }

    void ended(HostId relay) {
        inFlight.computeIfPresent(relay, (host, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Returns the relay for a request; empty if there is none.
     *
     * @param live the live hosts
     * @param tried the relays to which the request was sent already
     */
    Optional<Member> choose(
            List<Member> live, ServiceId service, Set<HostId> tried, long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.untilNanos > 0);
        avoidedUntilNanos.values().removeIf(until -> nowNanos - until > 0);
        Set<HostId> lost = new HashSet<>();
        reports.forEach(
                (host, report) -> {
                    if (report.lost.contains(service)) {
                        lost.add(host);
                    }
                });
        boolean leaveDomain = isMostOfDomainLost(live, lost);
        Comparator<Candidate> byPreference =
                Comparator.comparing(Candidate::avoided)
                        .thenComparing(it -> leaveDomain && isInDomain(it.member))
                        .thenComparing(Candidate::load)
                        .thenComparing(Candidate::draw);
        return live.stream()
                .filter(member -> !member.id().equals(self.id()))
                .filter(member -> !tried.contains(member.id()) && !lost.contains(member.id()))
                .map(
                        member ->
                                new Candidate(
                                        member,
                                        avoidedUntilNanos.containsKey(member.id()),
                                        inFlight.getOrDefault(member.id(), 0),
                                        random.nextInt()))
                .min(byPreference)
                .map(Candidate::member);
    }

    private record Candidate(Member member, boolean avoided, int load, int draw) {}

    private boolean isInDomain(Member member) {
        return member.domain().equals(self.domain());
    }

    /** Returns whether at least half of this failure domain's hosts can't reach the pool. */
    private boolean isMostOfDomainLost(List<Member> live, Set<HostId> lost) {
        List<Member> sameDomain = live.stream().filter(this::isInDomain).toList();
        long lostHere =
                sameDomain.stream()
                        .filter(it -> it.id().equals(self.id()) || lost.contains(it.id()))
                        .count();
        return 2 * lostHere >= sameDomain.size();
    }
}
