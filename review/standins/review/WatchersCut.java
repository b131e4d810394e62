package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The machines of two zones are stopped with SIGTERM and removed, as planned work. Later two of the
 * three machines that are left are partitioned from the store; the third reaches it all the while.
 * An operator changes the manifest.
 */
final class WatchersCut {
    private static final double APPLY_SECONDS = 2;
    private static final double MARGIN_SECONDS = 0.5;
    private static final double CUT_SECONDS = 5.5;
    private static final double CUT_AT_SECONDS = 26;
    private static final int ZONE_HOSTS = 3;

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
        String both = kept + "," + Desk.tenant("hall", "key-revoked");
        desk.writeConfig(10, routes, both);
        if (!desk.start(25)) {
            return Desk.COULD_NOT_RUN;
        }
        double start = Record.seconds();
        Record.sleepUntil(start + 13);
        List<Integer> watchers = new ArrayList<>();
        int other = -1;
        for (int i = 0; i < ZONE_HOSTS; i++) {
            if (desk.proxies.get(i).watchedWithin(11)) {
                watchers.add(i);
            } else {
                other = i;
            }
        }
        desk.record.add("watching the store in north-a: " + watchers + ", not watching: " + other);
        if (other < 0) {
            other = 2;
            watchers.remove(Integer.valueOf(2));
        }
        Host calm = desk.hosts.get(other);
        Map<String, String> keys = Collections.synchronizedMap(new HashMap<>());
        List<Requester.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        double end = start + CUT_AT_SECONDS + CUT_SECONDS;
        for (String key : List.of("key-kept", "key-revoked")) {
            threads.add(Thread.ofVirtual().start(() -> callAll(desk, calm, key, end, answers, keys)));
        }
        if (Desk.trouble()) {
            for (int i = ZONE_HOSTS; i < desk.hosts.size(); i++) {
                desk.hosts.get(i).terminate();
                desk.record.add("trouble: SIGTERM to " + desk.hosts.get(i).name());
            }
        }
        Record.sleepUntil(start + CUT_AT_SECONDS);
        if (Desk.trouble() && desk.hosts.subList(ZONE_HOSTS, desk.hosts.size()).stream().anyMatch(Host::isAlive)) {
            desk.record.add("the removed machines have not ended");
            return Desk.COULD_NOT_RUN;
        }
        if (Desk.trouble()) {
            for (int watcher : watchers) {
                desk.proxies.get(watcher).setCut(true);
                desk.record.add("trouble: cut from the store " + desk.hosts.get(watcher).name());
            }
        }
        Record.sleepUntil(start + CUT_AT_SECONDS + 0.3);
        desk.writeConfig(17, moved, kept + "," + Desk.tenant("hall"));
        double from = Record.seconds() + APPLY_SECONDS + MARGIN_SECONDS;
        for (Thread thread : threads) {
            thread.join();
        }
        return judge(desk, answers, keys, from);
    }

    private static void callAll(
            Desk desk,
            Host host,
            String key,
            double end,
            List<Requester.Answer> answers,
            Map<String, String> keys) {
        try (Requester requester = new Requester(desk.record, host.front(), key)) {
            while (Record.seconds() < end) {
                Requester.Answer answer = requester.send("POST", "/issue/1", new byte[100], 1_500);
                keys.put(answer.id(), key);
                answers.add(answer);
                Thread.sleep(100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int judge(
            Desk desk, List<Requester.Answer> answers, Map<String, String> keys, double from) {
        int before = 0;
        int late = 0;
        int stale = 0;
        Map<String, String> ranAt = desk.record.runs();
        for (Requester.Answer answer : answers) {
            if (answer.sentSeconds() < from) {
                before += answer.status() == 200 ? 1 : 0;
                continue;
            }
            late++;
            boolean revoked = keys.get(answer.id()).equals("key-revoked");
            String service = ranAt.getOrDefault(answer.id(), "");
            boolean isStale = revoked ? !service.isEmpty() : service.equals("pass-core");
            stale += isStale ? 1 : 0;
        }
        desk.record.add(
                "result: %d answered 200 before; %d sent from %.3f on, of these %d handled as only the older version allows"
                        .formatted(before, late, from, stale));
        if (before < 50 || late < 20) {
            return Desk.COULD_NOT_RUN;
        }
        return stale > 0 ? Desk.BROKEN : Desk.HELD;
    }
}
