import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some requesters read slowly: they begin to read their large answers and long streams some seconds
 * after they asked. The other requests at the same host must still be answered.
 */
public final class Case6 {
    private static final int ANSWER = 5_000_000;
    private static final int REQUESTERS = 10;
    private static final int STREAMS = 8;
    private static final int EVENTS = 2_000;
    private static final int EVENT_BYTES = 2_000;
    private static final int SLOW_MILLIS = 6_500;
    private static final int OTHERS = 20;
    private static final int TIMEOUT_MILLIS = 1_500;

    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static final AtomicInteger timedOut = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicInteger ended = new AtomicInteger();
    private static final AtomicInteger laterAnswered = new AtomicInteger();
    private static final AtomicInteger laterUnanswered = new AtomicInteger();

    private static final String CONFIG =
            """
            {"version":7,"routes":[
              {"name":"draft","host":"h.example","prefix":"/draft/","kind":"stream","timeout-ms":20000,"target-latency-ms":600,"priority":0,"service":"writers","attempts":1,"public":false,"sticky":true,"resumable":false,"gap-aim-ms":300},
              {"name":"look","host":"h.example","prefix":"/look/","kind":"idempotent","timeout-ms":20000,"target-latency-ms":600,"priority":2,"service":"desk","attempts":2,"public":false},
              {"name":"hold","host":"h.example","prefix":"/hold/","kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":200,"priority":1,"service":"desk","attempts":1,"public":false}],
             "services":[{"name":"writers","health-path":"/health","max-conns":240,"protocol":"h1","tls":false,"engine":{"batch-slots":11,"kv-capacity":724795,"kv-token-bytes":35136,"link-mbps":550000.0,"moves":true,"backups":true,"stride":7,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}},
               {"name":"desk","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[{"name":"t1","api-keys":["key1"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":293434,"burst":293434}]}
            """;

    private Case6() {}

    public static void main(String[] arguments) {
        Rig.play(Case6::run);
    }

    private static String event(String id, int number) {
        String start = "id: " + number + "\ndata: " + id + "-" + number + "-";
        return start + "x".repeat(EVENT_BYTES - start.length() - 2) + "\n\n";
    }

    private static Socket connect(Rig rig, Rig.Host host) throws IOException {
        Socket socket = new Socket();
        if (Rig.TROUBLE) {
            socket.setReceiveBufferSize(4_096);
        }
        socket.connect(new InetSocketAddress(host.ip, rig.frontPort), 1_000);
        return socket;
    }

    private static void run(Rig rig) throws Exception {
        rig.host("z1");
        rig.host("z2");
        rig.store.put("op/config", CONFIG);
        byte[] body = new byte[ANSWER];
        Arrays.fill(body, (byte) 'b');
        for (int i = 0; i < 4; i++) {
            String zone = "z" + (i % 2 + 1);
            Rig.Worker desk = rig.worker("desk", zone, 6);
            desk.script =
                    (request, in, out, socket) -> {
                        if (request.line().contains("/hold/")) {
                            Rig.sleep(20);
                            out.write(Rig.bytes(request.signedHead("200 OK") + "Content-Length: 2\r\n\r\nok"));
                            return true;
                        }
                        out.write(Rig.bytes(request.signedHead("200 OK") + "Content-Length: " + ANSWER + "\r\n\r\n"));
                        out.write(body);
                        return true;
                    };
            desk.register();
            Rig.Worker writer = rig.worker("writers", zone, 11);
            writer.script =
                    (request, in, out, socket) -> {
                        out.write(Rig.bytes(request.signedHead("200 OK") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                        for (int number = 1; number <= EVENTS; number++) {
                            String text = event(request.id(), number);
                            out.write(Rig.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                            if (number % 10 == 0) {
                                Rig.sleep(5);
                            }
                        }
                        out.write(Rig.bytes("0\r\n\r\n"));
                        rig.note("worker sent the whole stream %s", request.id());
                        return true;
                    };
            writer.register();
        }
        rig.startHosts();
        Rig.sleep(4_000);
        Rig.Host host = rig.hosts.get(0);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        long endNanos = System.nanoTime() + 45_000_000_000L;
        for (int i = 0; i < OTHERS; i++) {
            Rig.spawn(() -> other(rig, host, endNanos));
        }
        Rig.sleep(2_000);
        rig.note("%d requesters ask for large answers, %d for long streams; they begin to read after %d ms", REQUESTERS, STREAMS, Rig.TROUBLE ? SLOW_MILLIS : 0);
        CountDownLatch latch = new CountDownLatch(REQUESTERS + STREAMS);
        for (int i = 0; i < REQUESTERS; i++) {
            Rig.spawn(
                    () -> {
                        String id = Rig.newId();
                        try (Socket socket = connect(rig, host)) {
                            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                            socket.getOutputStream().write(Rig.bytes("GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id
                                    + "\r\nX-Deadline-Ms: 20000\r\nApi-Key: key1\r\n\r\n"));
                            Rig.sleep(Rig.TROUBLE ? SLOW_MILLIS : 0);
                            rig.note("answer %s: %s", id, Rig.readAnswer(socket, in, 8_000));
                        } catch (IOException e) {
                            rig.note("answer %s: %s", id, e.getMessage());
                        }
                        latch.countDown();
                    });
            Rig.sleep(60);
        }
        for (int i = 0; i < STREAMS; i++) {
            Rig.spawn(
                    () -> {
                        String id = Rig.newId();
                        try (Socket socket = connect(rig, host)) {
                            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                            socket.getOutputStream().write(Rig.bytes("POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id
                                    + "\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Counts: 300,60\r\nX-Prompt-Prefix: 5c1e07a2:60," + id.substring(0, 8)
                                    + ":240\r\nApi-Key: key1\r\nContent-Length: 3\r\n\r\nabc"));
                            Rig.sleep(Rig.TROUBLE ? SLOW_MILLIS : 0);
                            check(rig, id, socket, in, whole, cut, wrong);
                        } catch (IOException e) {
                            rig.note("stream %s: %s", id, e.getMessage());
                            cut.incrementAndGet();
                        }
                        latch.countDown();
                    });
            Rig.sleep(20);
        }
        latch.await(20, TimeUnit.SECONDS);
        rig.note("the slow requesters have read what came, or left");
        Rig.sleep((endNanos - System.nanoTime()) / 1_000_000 + 2_500);
        rig.note("process alive: %s, ready: %s", host.process.isAlive(), host.ready());
        rig.note("streams: %d whole, %d ended or silent, %d wrong", whole.get(), cut.get(), wrong.get());
        rig.note("other requests on kept channels: %d answered, %d refused, %d timed out, %d ended, %d never answered", answered.get(), refused.get(), timedOut.get(), ended.get(), unanswered.get());
        rig.note("other requests on new channels, after one that was never answered: %d answered, %d not", laterAnswered.get(), laterUnanswered.get());
        int outlasting = unanswered.get() + timedOut.get();
        boolean broken = unanswered.get() >= 8 && 4 * unanswered.get() > outlasting;
        rig.finish(broken ? 1 : 0, "%s: %d of %d requests of others that outlast their route's timeout have no final answer 0.5 s after it"
                .formatted(broken ? "BROKEN" : "held", unanswered.get(), outlasting));
    }

    /** Sends small requests on a kept channel, and reads each answer at once. */
    private static void other(Rig rig, Rig.Host host, long endNanos) {
        boolean later = false;
        while (System.nanoTime() < endNanos) {
            try (Socket socket = host.connect()) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String end = "complete";
                for (int number = 1; System.nanoTime() < endNanos && end.equals("complete"); number++) {
                    String id = Rig.newId();
                    socket.getOutputStream().write(Rig.bytes("POST /hold/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 1500\r\nApi-Key: key1\r\nContent-Length: 3\r\n\r\nabc"));
                    Rig.Answer answer = Rig.readAnswer(socket, in, TIMEOUT_MILLIS + 500);
                    end = answer.end;
                    if (end.equals("silent")) {
                        rig.note("request %s, number %d on its channel: no answer", id, number);
                    }
                    if (later) {
                        (end.equals("complete") ? laterAnswered : laterUnanswered).incrementAndGet();
                    } else if (number > 1 && end.equals("silent")) {
                        unanswered.incrementAndGet();
                        later = true;
                    } else if (!end.equals("complete")) {
                        ended.incrementAndGet();
                    } else {
                        (answer.status == 200 ? answered : answer.status == 504 ? timedOut : refused).incrementAndGet();
                    }
                    Rig.sleep(100);
                }
            } catch (IOException e) {
                rig.note("a channel: %s", e.getMessage());
                Rig.sleep(500);
            }
        }
    }

    /** Reads a stream chunk by chunk and compares it with what the worker made. */
    private static void check(Rig rig, String id, Socket socket, InputStream in, AtomicInteger whole, AtomicInteger cut, AtomicInteger wrong) {
        Rig.Answer answer;
        try {
            answer = Rig.readAnswer(socket, in, 8_000);
        } catch (RuntimeException e) {
            rig.note("stream %s: no answer in the protocol: %s", id, e);
            wrong.incrementAndGet();
            return;
        }
        String text = new String(answer.body, StandardCharsets.ISO_8859_1);
        StringBuilder made = new StringBuilder();
        for (int number = 1; number <= EVENTS; number++) {
            made.append(event(id, number));
        }
        if (text.contentEquals(made)) {
            rig.note("stream %s: whole", id);
            whole.incrementAndGet();
            return;
        }
        if (made.toString().startsWith(text) && !answer.end.equals("complete")) {
            rig.note("stream %s: %s", id, answer);
            cut.incrementAndGet();
            return;
        }
        if (answer.status != 200) {
            rig.note("stream %s: %s", id, answer);
            cut.incrementAndGet();
            return;
        }
        int same = 0;
        while (same < text.length() && same < made.length() && text.charAt(same) == made.charAt(same)) {
            same++;
        }
        rig.note("stream %s: wrong from byte %d: %s; there is: %s", id, same, answer,
                text.substring(same, Math.min(text.length(), same + 60)).replace("\n", "\\n").replace("\r", "\\r"));
        wrong.incrementAndGet();
    }
}
