package org.orioleshed.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.orioleshed.model.ServerId;

/**
 * Replays a load above the capacity of a pool of which some servers are unavailable for a while, in
 * simulated time, through a primary's scheduler.
 */
final class RecoveryReplay {
    static final int SLOTS = 6;
    static final long DOWN_MILLIS = 1_000;
    static final long UP_MILLIS = 2_000;
    static final long END_MILLIS = 10_000;
    private static final long CONNECT_MILLIS = 2;
    private static final long FIRST_MILLIS = 60;
    private static final long STREAM_MILLIS = 300;
    private static final long TIMEOUT_MILLIS = 900;
    private static final long TICK_MILLIS = 20;

    /**
     * How servers recover.
     *
     * @param servers the number of servers
     * @param affected the number of servers that are unavailable for a second
     * @param silent whether they hold their responses back for that time, instead of being down
     * @param warmupMillis how long they are slow after that
     * @param crashAbove they crash when they have more requests than this, also later
     * @param perSecond the requests a second
     */
    record Scenario(
            int servers,
            int affected,
            boolean silent,
            long warmupMillis,
            int crashAbove,
            int perSecond) {}

    /** One due occurrence in the simulation. */
    private record Due(long millis, long sequence, Runnable action) {}

    private record Sent(int server, long sentMillis) {}

    int answered;
    int failedAttempts;
    int refused;
    int paced;
    int crashes;

    /** The requests that affected servers answered after the second for which they were down. */
    int answeredThere;

    /** When the affected servers were last seen at the start of full use, since they were up. */
    long fullUseMillis = -1;

    private final Scenario scenario;
    private final SchedulerFixture fixture;
    private final SplittableRandom random = new SplittableRandom(7);
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(
                    (a, b) ->
                            a.millis() != b.millis()
                                    ? Long.compare(a.millis(), b.millis())
                                    : Long.compare(a.sequence(), b.sequence()));
    private final Map<Integer, Sent> running = new HashMap<>();
    private final Map<Integer, Integer> attempts = new HashMap<>();
    private final long[] upMillis;
    private final boolean[] fullyUsed;
    private long nowMillis;
    private long sequence;
    private int runs;
    private int seenActions;

    RecoveryReplay(Scenario scenario, PacingPolicy pacing) {
        this.scenario = scenario;
        this.fixture = new SchedulerFixture(pacing);
        this.upMillis = new long[scenario.servers()];
        this.fullyUsed = new boolean[scenario.servers()];
        for (int server = 0; server < scenario.servers(); server++) {
            fixture.server("s" + server, SLOTS);
        }
    }

    /** Runs the replay to its end. */
    RecoveryReplay run() {
        for (long millis = 0; millis < END_MILLIS; millis += TICK_MILLIS) {
            at(millis, () -> {});
        }
        double arrivalMillis = 0;
        while (arrivalMillis < END_MILLIS) {
            arrivalMillis += -Math.log(1 - random.nextDouble()) * 1_000 / scenario.perSecond();
            at((long) arrivalMillis, () -> request(Set.of(), 0));
        }
        if (!scenario.silent()) {
            at(DOWN_MILLIS, this::takeDown);
        }
        while (!due.isEmpty()) {
            Due next = due.poll();
            fixture.advance(next.millis() - nowMillis);
            nowMillis = next.millis();
            next.action().run();
            sendGranted();
            paced = fixture.scheduler.pacedServers();
        }
        return this;
    }

    private void at(long millis, Runnable action) {
        due.add(new Due(millis, sequence++, action));
    }

    private void takeDown() {
        for (int server = 0; server < scenario.affected(); server++) {
            crash(server, UP_MILLIS);
        }
    }

    private void crash(int server, long untilMillis) {
        upMillis[server] = untilMillis;
        crashes++;
        List<Integer> lost = new ArrayList<>();
        running.forEach(
                (run, sent) -> {
                    if (sent.server() == server) {
                        lost.add(run);
                    }
                });
        lost.forEach(run -> fail(run, RunReport.Outcome.BROKEN));
    }

    private void request(Set<ServerId> excluded, int attempt) {
        int run = ++runs;
        attempts.put(run, attempt);
        fixture.request(run, SchedulerFixture.requestOf(run, 3_000, excluded));
    }

    private void sendGranted() {
        while (seenActions < fixture.actions.size()) {
            DispatchAction action = fixture.actions.get(seenActions++);
            if (action instanceof DispatchAction.Refuse) {
                refused++;
            } else if (action instanceof DispatchAction.Grant grant) {
                send((int) grant.run().number(), serverOf(grant.server()));
            }
        }
    }

    private static int serverOf(ServerId id) {
        return Integer.parseInt(id.value().substring(1));
    }

    private void send(int run, int server) {
        Sent sent = new Sent(server, nowMillis);
        running.put(run, sent);
        if (nowMillis < upMillis[server]) {
            at(nowMillis + CONNECT_MILLIS, () -> fail(run, RunReport.Outcome.UNREACHABLE));
            return;
        }
        long concurrent = running.values().stream().filter(r -> r.server() == server).count();
        if (server < scenario.affected() && nowMillis >= UP_MILLIS) {
            if (concurrent > scenario.crashAbove()) {
                at(nowMillis + CONNECT_MILLIS, () -> crash(server, nowMillis + DOWN_MILLIS));
            }
            recordUse(server, concurrent);
        }
        long firstMillis = firstMillis(server, concurrent);
        if (firstMillis > TIMEOUT_MILLIS) {
            at(nowMillis + TIMEOUT_MILLIS, () -> fail(run, RunReport.Outcome.TIMED_OUT));
            return;
        }
        at(nowMillis + firstMillis, () -> first(run, sent, firstMillis));
        at(nowMillis + firstMillis + STREAM_MILLIS, () -> answer(run, sent, firstMillis));
    }

    /** While a server is slow, its requests also slow each other down. */
    private long firstMillis(int server, long concurrent) {
        long base = FIRST_MILLIS + random.nextInt(20);
        if (server >= scenario.affected()) {
            return base;
        }
        boolean isSilent = nowMillis + base >= DOWN_MILLIS && nowMillis < UP_MILLIS;
        if (scenario.silent() && isSilent) {
            return UP_MILLIS - nowMillis + base;
        }
        double sinceUp = nowMillis - Math.max(UP_MILLIS, upMillis[server]);
        if (sinceUp < 0 || sinceUp >= scenario.warmupMillis()) {
            return base;
        }
        return (long) (base * concurrent * (1 + 5 * (1 - sinceUp / scenario.warmupMillis())));
    }

    private void recordUse(int server, long concurrent) {
        if (concurrent < SLOTS || fullyUsed[server]) {
            return;
        }
        fullyUsed[server] = true;
        for (int other = 0; other < scenario.affected(); other++) {
            if (!fullyUsed[other]) {
                return;
            }
        }
        fullUseMillis = nowMillis - UP_MILLIS;
    }

    private void first(int run, Sent sent, long millis) {
        if (sent.equals(running.get(run))) {
            fixture.first(run, millis);
        }
    }

    private void answer(int run, Sent sent, long firstMillis) {
        if (!sent.equals(running.get(run))) {
            return;
        }
        running.remove(run);
        answered++;
        boolean isThere = sent.server() < scenario.affected() && sent.sentMillis() >= UP_MILLIS;
        answeredThere += isThere ? 1 : 0;
        fixture.send(
                new DispatchEvent.Ended(
                        SchedulerFixture.key(run),
                        new RunReport(
                                RunReport.Outcome.ANSWERED,
                                13,
                                firstMillis,
                                firstMillis + STREAM_MILLIS)));
    }

    private void fail(int run, RunReport.Outcome outcome) {
        Sent sent = running.remove(run);
        if (sent == null) {
            return;
        }
        failedAttempts++;
        fixture.end(run, outcome);
        if (attempts.get(run) == 0) {
            request(Set.of(new ServerId("s" + sent.server())), 1);
        }
    }
}
