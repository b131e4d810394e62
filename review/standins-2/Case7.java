import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A hot tenant's requesters open a new channel for each request and keep it for a while. One host
 * runs out of descriptors. Long after the channels are closed, the host must still give a final
 * answer to requests that outlast their route's timeout.
 */
public final class Case7 {
    private static final int USUAL_PER_S = 110;
    private static final double HOT = 7.5;
    private static final int BEFORE_MILLIS = 6_000;
    private static final int PERIOD_MILLIS = 22_000;
    private static final int HOT_MILLIS = 6_500;
    private static final int KEPT_MILLIS = 12_000;
    private static final int KEPT_CHANNELS = 60;
    private static final int FEW_REQUESTS = 24;
    private static final int LATE_REQUESTS = 40;
    private static final int TIMEOUT_MILLIS = 1_500;

    private static final String CONFIG =
            """
            {"version":7,"routes":[
              {"name":"hold","host":"h.example","prefix":"/hold/","kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":200,"priority":2,"service":"desk","attempts":1,"public":false},
              {"name":"look","host":"h.example","prefix":"/look/","kind":"idempotent","timeout-ms":1500,"target-latency-ms":200,"priority":2,"service":"desk","attempts":2,"public":false}],
             "services":[{"name":"desk","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[{"name":"t1","api-keys":["key1"],"priority":1,"unit":"tokens","plain-tokens":20,"rate-per-s":293434,"burst":293434},
                        {"name":"t2","api-keys":["key2"],"priority":1,"unit":"tokens","plain-tokens":20,"rate-per-s":293434,"burst":293434}]}
            """;

    private static final AtomicInteger unansweredBefore = new AtomicInteger();
    private static final AtomicInteger timedOutBefore = new AtomicInteger();
    private static final Map<String, AtomicInteger> counts = new ConcurrentSkipListMap<>();

    private Case7() {}

    private static void count(String what) {
        counts.computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
    }

    private static String call(String route, String key) {
        return ("POST /" + route + "/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + Rig.newId())
                + ("\r\nX-Deadline-Ms: 1500\r\nApi-Key: " + key + "\r\nContent-Length: 3\r\n\r\nabc");
    }

    /** Sends one request on a new channel, and keeps the channel for a while. */
    private static void oneRequest(Rig.Host host, String phase) {
        try (Socket socket = host.connect()) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 512);
            socket.getOutputStream().write(Rig.bytes(call("look", "key2")));
            Rig.Answer answer = Rig.readAnswer(socket, in, 2_500);
            count(phase + " new channel: " + answer.status + " " + answer.end);
            Rig.sleep(KEPT_MILLIS);
        } catch (IOException e) {
            count(phase + " new channel: " + e.getMessage());
        }
    }

    /** Sends requests on a kept channel until the time is over. */
    private static void keepSending(Rig.Host host, long endNanos, String[] phase) {
        while (System.nanoTime() < endNanos) {
            try (Socket socket = host.connect()) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String end = "complete";
                int answers = 0;
                while (System.nanoTime() < endNanos && end.equals("complete")) {
                    socket.getOutputStream().write(Rig.bytes(call(Math.random() < 0.5 ? "hold" : "look", "key1")));
                    Rig.Answer answer = Rig.readAnswer(socket, in, TIMEOUT_MILLIS + 500);
                    count(phase[0] + (answers++ == 0 ? " first on its channel: " : " kept channel: ") + answer.status + " " + answer.end);
                    if (answers > 1 && answer.end.equals("silent")) {
                        // The host read earlier requests of this channel, and sent the last answer.
                        unansweredBefore.incrementAndGet();
                    } else if (answer.status == 504) {
                        timedOutBefore.incrementAndGet();
                    }
                    end = answer.end;
                    Rig.sleep(15);
                }
            } catch (IOException e) {
                count(phase[0] + " kept channel: " + e.getMessage());
                Rig.sleep(200);
            }
        }
    }

    public static void main(String[] arguments) {
        Rig.play(Case7::run);
    }

    private static void run(Rig rig) throws Exception {
        rig.host("z1");
        rig.host("z2");
        rig.store.put("op/config", CONFIG);
        boolean[] slow = {false};
        for (int i = 0; i < 4; i++) {
            Rig.Worker worker = rig.worker("desk", "z" + (i % 2 + 1), 24);
            AtomicInteger running = new AtomicInteger();
            worker.script =
                    (request, in, out, socket) -> {
                        // "some slow down when they are nearly full"
                        int now = running.incrementAndGet();
                        Rig.sleep(slow[0] ? 5_000 : 20 + 6 * now);
                        running.decrementAndGet();
                        // "Connection: close appears ... occasionally in other responses"
                        boolean close = Math.random() < 0.1;
                        out.write(Rig.bytes(request.signedHead("200 OK") + (close ? "Connection: close\r\n" : "") + "Content-Length: 2\r\n\r\nok"));
                        return !close;
                    };
            worker.register();
        }
        rig.startHosts();
        Rig.sleep(3_000);
        String[] phase = {"1 before"};
        long endNanos = System.nanoTime() + 52_000_000_000L;
        for (int i = 0; i < 2 * KEPT_CHANNELS; i++) {
            Rig.Host host = rig.hosts.get(i % 2);
            Rig.spawn(() -> keepSending(host, endNanos, phase));
        }
        rig.note("usual traffic: %d new channels a second", USUAL_PER_S);
        long startNanos = System.nanoTime();
        long hotEnd = BEFORE_MILLIS + PERIOD_MILLIS + HOT_MILLIS;
        double due = 0;
        long last = 0;
        while (last < hotEnd) {
            long now = (System.nanoTime() - startNanos) / 1_000_000;
            long inPeriod = (now - BEFORE_MILLIS) % PERIOD_MILLIS;
            boolean hot = Rig.TROUBLE && now >= BEFORE_MILLIS && inPeriod < HOT_MILLIS;
            if (hot && !phase[0].startsWith("2")) {
                phase[0] = "2 hot tenant";
                rig.note("one tenant sends %.1f times its usual for %d ms", HOT, HOT_MILLIS);
            } else if (!hot && phase[0].startsWith("2")) {
                phase[0] = "3 channels end";
                rig.note("the tenant is back to its usual; its channels are closed %d ms after their use", KEPT_MILLIS);
            }
            due += (now - last) * USUAL_PER_S * (hot ? HOT : 1) / 1_000;
            last = now;
            for (; due >= 1; due--) {
                String name = phase[0];
                rig.hosts.forEach(host -> Rig.spawn(() -> oneRequest(host, name)));
            }
            Rig.sleep(5);
        }
        phase[0] = "3 channels end";
        rig.note("the hot tenant is back to nothing; its channels are closed %d ms after their use", KEPT_MILLIS);
        Rig.sleep(52_000 - (System.nanoTime() - startNanos) / 1_000_000);
        // 6 s more: longer than stable-ms (3 s) and than the 5 s after requesters press.
        Rig.sleep(6_000);
        phase[0] = "4 after";
        CountDownLatch fewLatch = new CountDownLatch(FEW_REQUESTS);
        for (int i = 0; i < FEW_REQUESTS; i++) {
            Rig.Host host = rig.hosts.get(i % 2);
            Rig.spawn(
                    () -> {
                        try (Socket socket = host.connect()) {
                            socket.getOutputStream().write(Rig.bytes(call("hold", "key1")));
                            Rig.Answer answer = Rig.readAnswer(socket, socket.getInputStream(), TIMEOUT_MILLIS + 500);
                            count("4 after, few at a time: " + answer.status + " " + answer.end);
                            if (answer.end.equals("silent")) {
                                unansweredBefore.incrementAndGet();
                            } else if (answer.status == 504) {
                                timedOutBefore.incrementAndGet();
                            }
                        } catch (IOException e) {
                            count("4 after, few at a time: " + e.getMessage());
                        }
                        fewLatch.countDown();
                    });
            Rig.sleep(100);
        }
        fewLatch.await(10, TimeUnit.SECONDS);
        rig.note("workers now take longer than the route's timeout");
        slow[0] = true;
        CountDownLatch latch = new CountDownLatch(LATE_REQUESTS);
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger answeredLate = new AtomicInteger();
        for (int i = 0; i < LATE_REQUESTS; i++) {
            Rig.Host host = rig.hosts.get(i % 2);
            Rig.spawn(
                    () -> {
                        try (Socket socket = host.connect()) {
                            socket.getOutputStream().write(Rig.bytes(call("hold", "key1")));
                            Rig.Answer answer = Rig.readAnswer(socket, socket.getInputStream(), TIMEOUT_MILLIS + 500);
                            rig.note("outlasts its timeout at %s: %s", host.name, answer);
                            if (answer.end.equals("silent")) {
                                unanswered.incrementAndGet();
                            } else if (answer.status == 504) {
                                answeredLate.incrementAndGet();
                            }
                        } catch (IOException e) {
                            rig.note("outlasts its timeout: %s", e.getMessage());
                        }
                        latch.countDown();
                    });
            Rig.sleep(20);
        }
        latch.await(10, TimeUnit.SECONDS);
        counts.forEach((what, number) -> rig.note("%6d  %s", number.get(), what));
        rig.hosts.forEach(host -> rig.note("%s alive: %s, ready: %s", host.name, host.process.isAlive(), host.ready()));
        int silent = unanswered.get() + unansweredBefore.get();
        int outlasting = silent + answeredLate.get() + timedOutBefore.get();
        boolean broken = silent >= 8 && 4 * silent > outlasting;
        rig.note("after the trouble: %d of %d such requests", unanswered.get(), LATE_REQUESTS);
        rig.finish(broken ? 1 : 0, "%s: %d of %d requests that outlast their route's timeout have no final answer 0.5 s after it"
                .formatted(broken ? "BROKEN" : "held", silent, outlasting));
    }
}
