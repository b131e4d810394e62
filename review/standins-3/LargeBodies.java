import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;

/**
 * Case 11 (LOST): requesters send bodies in chunks, each within max-body-bytes, on kept channels; for
 * five seconds 1.8 times as many of them as usual. With TROUBLE=0 it is the usual number all the time.
 */
final class LargeBodies {
    private static final int USUAL = 5;
    private static final int BURST = 9;
    private static final long BURST_FROM_MILLIS = 6_000;
    private static final long BURST_TO_MILLIS = 11_000;
    private static final long END_MILLIS = 18_000;
    private static final int BODY_BYTES = 4_000_000;
    private static final long WORK_MILLIS = 600;
    private static final long DEADLINE_MILLIS = 10_000;

    /** The rule: more than three times. */
    private static final int ALLOWED = 3;

    private static final String MANIFEST =
            """
            {"version":7,
             "routes":[{"name":"r-1","host":"desk.example","prefix":"/forms/","kind":"non_idempotent",
               "timeout-ms":12000,"target-latency-ms":1500,"priority":0,"service":"desk",
               "attempts":1,"public":true,"sticky":false,"resumable":false}],
             "services":[{"name":"desk","health-path":"/health","max-conns":110,"protocol":"h1",
               "tls":false}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
               "header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[]}
            """;

    private record Sent(String id, int onChannel, long sentMillis, Caller.Answer answer) {}

    private LargeBodies() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(new LargeBodies().run(Path.of(arguments[0]), trouble));
    }

    private final List<Sent> sent = new ArrayList<>();

    private int run(Path record, boolean trouble) throws Exception {
        String ip = "127.0.0.1";
        List<WorkerStandin> workers = new ArrayList<>();
        try (Fleet fleet = new Fleet(record, List.of("suva-b", "nausori", "navua"))) {
            int storePort = Fleet.freePort(ip);
            StoreStandin store = new StoreStandin(ip, storePort);
            List<String> zones = List.of("suva-a", "suva-b", "nausori", "navua");
            for (int i = 0; i < zones.size(); i++) {
                WorkerStandin worker =
                        new WorkerStandin(
                                "i-" + i,
                                ip,
                                Fleet.freePort(ip),
                                6,
                                WorkerStandin.plain(() -> WORK_MILLIS));
                workers.add(worker);
                store.put(
                        "servers/" + worker.id,
                        worker.entry("desk", zones.get(i), "v1", "ready"));
            }
            store.put("op/config", MANIFEST);
            fleet.start(ip + ":" + storePort);
            if (!fleet.awaitReady(30_000)) {
                fleet.note("the hosts are not ready: the case could not run");
                return 2;
            }
            play(fleet, trouble);
            return judge(fleet, workers);
        }
    }

    private void play(Fleet fleet, boolean trouble) throws InterruptedException {
        byte[] body = new byte[BODY_BYTES];
        new Random(1).nextBytes(body);
        long begin = Fleet.millis();
        CountDownLatch done = new CountDownLatch(BURST);
        for (int i = 0; i < BURST; i++) {
            int number = i;
            Thread.ofPlatform()
                    .start(
                            () -> {
                                try {
                                    request(fleet, number, body, begin, trouble);
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                } finally {
                                    done.countDown();
                                }
                            });
        }
        done.await();
    }

    /** One requester: one request after the other on a channel that it keeps. */
    private void request(Fleet fleet, int number, byte[] body, long begin, boolean trouble)
            throws InterruptedException {
        Caller caller = null;
        int onChannel = 0;
        int count = 0;
        while (Fleet.millis() - begin < END_MILLIS) {
            long now = Fleet.millis() - begin;
            boolean here = number < USUAL || (now > BURST_FROM_MILLIS && now < BURST_TO_MILLIS);
            if (!here || (number >= USUAL && !trouble)) {
                Thread.sleep(20);
                continue;
            }
            String id = "q%d-%d".formatted(number, ++count);
            Caller.Answer answer;
            long sentMillis = Fleet.millis();
            try {
                if (caller == null) {
                    caller = new Caller(fleet.front(fleet.hosts.get(0)), 15_000);
                    onChannel = 0;
                }
                onChannel++;
                caller.sendHead(
                        "POST /forms/new HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
                                + id
                                + "\r\nX-Deadline-Ms: "
                                + DEADLINE_MILLIS
                                + "\r\nTransfer-Encoding: chunked\r\n\r\n");
                caller.sendBody(body, true, 16_000);
                answer = caller.answer();
            } catch (IOException e) {
                answer = new Caller.Answer(0, Map.of(), new byte[0], "sending: " + e.getMessage());
            }
            synchronized (sent) {
                sent.add(new Sent(id, onChannel, sentMillis, answer));
            }
            fleet.note(
                    "request %s, number %d on its channel, sent at %d ms: %s",
                    id,
                    onChannel,
                    sentMillis,
                    answer.status() == 0
                            ? "no answer, channel ended (" + answer.failure() + ")"
                            : Integer.toString(answer.status()));
            if (answer.status() == 0 || "close".equals(answer.headers().get("connection"))) {
                if (caller != null) {
                    caller.close();
                }
                caller = null;
                Thread.sleep(300);
            }
        }
        if (caller != null) {
            caller.close();
        }
    }

    private int judge(Fleet fleet, List<WorkerStandin> workers) throws IOException {
        Map<String, WorkerStandin.Run> runs = new HashMap<>();
        for (WorkerStandin worker : workers) {
            for (WorkerStandin.Run run : worker.runs()) {
                runs.put(run.id, run);
                fleet.note(
                        "worker %s ran %s from %d to %d ms",
                        worker.id, run.id, run.beganMillis, run.endedMillis);
            }
        }
        Map<Integer, Integer> statuses = new TreeMap<>();
        int lost = 0;
        for (Sent request : sent) {
            statuses.merge(request.answer.status(), 1, Integer::sum);
            WorkerStandin.Run run = runs.get(request.id);
            if (request.answer.status() == 0 && request.onChannel > 1 && run != null) {
                lost++;
                fleet.note(
                        "LOST: %s was the request number %d on its channel, worker %s ran it, and the"
                                + " channel ended without an answer",
                        request.id, request.onChannel, run.worker);
            }
        }
        fleet.note("answers by status (0: channel ended without one): %s", statuses);
        Fleet.Host host = fleet.hosts.get(0);
        fleet.note(
                "%s is alive: %s; its log has %d lines with event=caller_cut_off",
                host.name,
                host.process.isAlive(),
                fleet.logLines(host, "event=caller_cut_off").size());
        fleet.note(
                "requests from kept channels that a sound worker got and whose channel was closed"
                        + " without an answer: %d (allowed: %d)",
                lost, ALLOWED);
        System.out.println("lost=" + lost + " allowed=" + ALLOWED + " answers=" + statuses);
        return lost > ALLOWED ? 1 : 0;
    }
}
