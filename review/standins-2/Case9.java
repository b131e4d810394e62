import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some workers truncate a few of their answers, and answer again on the same channel. No requester
 * may get a success whose body is put together from both.
 */
public final class Case9 {
    private static final int BODY = 800;
    private static final int REQUESTERS = 20;
    private static final int REQUESTS = 100;
    private static final double GARBLED = 0.03;

    private static final String CONFIG =
            """
            {"version":7,"routes":[
              {"name":"hold","host":"h.example","prefix":"/hold/","kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":200,"priority":2,"service":"desk","attempts":1,"public":false},
              {"name":"look","host":"h.example","prefix":"/look/","kind":"idempotent","timeout-ms":1500,"target-latency-ms":200,"priority":2,"service":"desk","attempts":2,"public":false}],
             "services":[{"name":"desk","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[{"name":"t1","api-keys":["key1"],"priority":1,"unit":"tokens","plain-tokens":20,"rate-per-s":293434,"burst":293434}]}
            """;

    private Case9() {}

    public static void main(String[] arguments) {
        Rig.play(Case9::run);
    }

    private static String body(String id) {
        return (id + ".").repeat(BODY).substring(0, BODY);
    }

    private static void run(Rig rig) throws Exception {
        rig.host("z1");
        rig.host("z2");
        rig.store.put("op/config", CONFIG);
        AtomicInteger garbled = new AtomicInteger();
        for (int i = 0; i < 4; i++) {
            boolean faulty = Rig.TROUBLE && i < 2;
            Rig.Worker worker = rig.worker("desk", "z" + (i % 2 + 1), 12);
            worker.script =
                    (request, in, out, socket) -> {
                        Rig.sleep(15);
                        String answer = request.signedHead("200 OK") + "Content-Length: " + BODY + "\r\n\r\n" + body(request.id());
                        if (faulty && Math.random() < GARBLED) {
                            garbled.incrementAndGet();
                            rig.note("answer to %s is truncated, and sent again", request.id());
                            out.write(Rig.bytes(answer.substring(0, answer.length() - BODY / 2)));
                            out.flush();
                            Rig.sleep(30);
                        }
                        out.write(Rig.bytes(answer));
                        return true;
                    };
            worker.register();
        }
        rig.startHosts();
        Rig.sleep(4_000);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        CountDownLatch latch = new CountDownLatch(REQUESTERS);
        for (int i = 0; i < REQUESTERS; i++) {
            Rig.Host host = rig.hosts.get(i % 2);
            Rig.spawn(
                    () -> {
                        for (int number = 0; number < REQUESTS; ) {
                            try (Socket socket = host.connect()) {
                                InputStream in = new BufferedInputStream(socket.getInputStream());
                                String end = "complete";
                                for (; number < REQUESTS && end.equals("complete"); number++) {
                                    String id = Rig.newId();
                                    socket.getOutputStream().write(Rig.bytes("POST /" + (number % 2 == 0 ? "hold" : "look") + "/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id
                                            + "\r\nX-Deadline-Ms: 1500\r\nApi-Key: key1\r\nContent-Length: 3\r\n\r\nabc"));
                                    Rig.Answer answer = Rig.readAnswer(socket, in, 2_500);
                                    end = answer.end;
                                    String got = new String(answer.body, StandardCharsets.ISO_8859_1);
                                    boolean success = answer.status == 200 && end.equals("complete") && answer.headers.containsKey("x-response-signature");
                                    if (success && got.equals(body(id))) {
                                        whole.incrementAndGet();
                                    } else if (success) {
                                        wrong.incrementAndGet();
                                        rig.note("request %s: success with another body; from byte %d on: %s", id, BODY / 2,
                                                got.substring(BODY / 2, BODY / 2 + 60).replace("\r\n", "\\r\\n"));
                                    } else {
                                        failed.incrementAndGet();
                                        rig.note("request %s: %s", id, answer);
                                    }
                                }
                            } catch (IOException e) {
                                rig.note("a channel: %s", e.getMessage());
                                failed.incrementAndGet();
                            }
                        }
                        latch.countDown();
                    });
        }
        latch.await(60, TimeUnit.SECONDS);
        rig.finish(wrong.get() > 0 ? 1 : 0, "%s: %d whole answers, %d failures, %d answers truncated by workers, %d successes with a body that is not the worker's"
                .formatted(wrong.get() > 0 ? "BROKEN" : "held", whole.get(), failed.get(), garbled.get(), wrong.get()));
    }
}
