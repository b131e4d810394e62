package review;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The store is away for a second and comes back from a copy that is 5 s old, in a new era; the
 * operator writes again what was lost. After stable-ms the operator takes a key away and moves a
 * route; both must be in force config-apply-ms later.
 */
final class StoreFromCopy {
    private static final double STABLE_SECONDS = 3;
    private static final double APPLY_SECONDS = 2;

    /** Checked only this much later than the bound, so that no clock error counts. */
    private static final double MARGIN_SECONDS = 0.5;

    public static void main(String[] arguments) throws Exception {
        try (Desk desk = new Desk(Path.of(arguments[0]))) {
            System.exit(run(desk));
        }
    }

    private static int run(Desk desk) throws Exception {
        for (int i = 0; i < 3; i++) {
            desk.addWorker("w-core-" + i, "pass-core", "north-" + "abc".charAt(i), 6).works(20);
            desk.addWorker("w-other-" + i, "pass-other", "north-" + "abc".charAt(i), 6).works(20);
        }
        String routes = Desk.route("issue", "pass-core", "non_idempotent", 1, 800);
        String moved = Desk.route("issue", "pass-other", "non_idempotent", 1, 800);
        String kept = Desk.tenant("city", "key-kept");
        desk.writeConfig(10, routes, kept + "," + Desk.tenant("hall", "key-revoked"));
        if (!desk.start(25)) {
            return Desk.COULD_NOT_RUN;
        }
        double start = Record.seconds();
        Map<String, Double> sent = Collections.synchronizedMap(new HashMap<>());
        List<Requester.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        Map<String, String> keys = Collections.synchronizedMap(new HashMap<>());
        List<Thread> threads = new ArrayList<>();
        double end = start + 26;
        for (Host host : desk.hosts) {
            for (String key : List.of("key-kept", "key-revoked")) {
                threads.add(
                        Thread.ofVirtual()
                                .start(() -> callAll(desk, host.front(), key, end, answers, keys)));
            }
        }
        Record.sleepUntil(start + 4);
        desk.store.takeCopy();
        String before = kept + "," + Desk.tenant("hall", "key-revoked");
        for (int version = 11; version <= 13; version++) {
            Record.sleepUntil(start + 4.5 + (version - 11));
            desk.writeConfig(version, routes, before);
        }
        Record.sleepUntil(start + 8);
        if (Desk.trouble()) {
            desk.store.goAway();
            desk.record.add("trouble: the store is away");
            Record.sleepUntil(start + 9);
            desk.store.restore();
            desk.record.add("trouble: the store is back from a copy that is 5 s old");
            Record.sleepUntil(start + 9.2);
            desk.writeConfig(13, routes, before);
        }
        Record.sleepUntil(start + 9 + STABLE_SECONDS + 1.5);
        desk.writeConfig(17, moved, kept + "," + Desk.tenant("hall"));
        double acknowledged = Record.seconds();
        for (Thread thread : threads) {
            thread.join();
        }
        double from = acknowledged + APPLY_SECONDS + MARGIN_SECONDS;
        return judge(desk, answers, keys, from);
    }

    private static void callAll(
            Desk desk,
            InetSocketAddress host,
            String key,
            double end,
            List<Requester.Answer> answers,
            Map<String, String> keys) {
        try (Requester requester = new Requester(desk.record, host, key)) {
            while (Record.seconds() < end) {
                Requester.Answer answer = requester.send("POST", "/issue/1", new byte[100], 1_500);
                keys.put(answer.id(), key);
                answers.add(answer);
                Thread.sleep(200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int judge(
            Desk desk, List<Requester.Answer> answers, Map<String, String> keys, double from) {
        int before = 0;
        int late = 0;
        int staleKeys = 0;
        int staleRoutes = 0;
        double last = 0;
        Map<String, String> ranAt = desk.record.runs();
        for (Requester.Answer answer : answers) {
            if (answer.sentSeconds() < from) {
                before += answer.status() == 200 ? 1 : 0;
                continue;
            }
            late++;
            boolean revoked = keys.get(answer.id()).equals("key-revoked");
            String service = ranAt.getOrDefault(answer.id(), "");
            if (revoked && !service.isEmpty()) {
                staleKeys++;
                last = Math.max(last, answer.sentSeconds());
            } else if (service.equals("pass-core")) {
                staleRoutes++;
                last = Math.max(last, answer.sentSeconds());
            }
        }
        desk.record.add(
                ("result: %d answered 200 before; %d sent from %.3f on, of these %d ran with the"
                                + " dropped key and %d ran at the old service, the last sent at %.3f")
                        .formatted(before, late, from, staleKeys, staleRoutes, last));
        if (before < 100 || late < 100) {
            return Desk.COULD_NOT_RUN;
        }
        return staleKeys + staleRoutes > 0 ? Desk.BROKEN : Desk.HELD;
    }
}
