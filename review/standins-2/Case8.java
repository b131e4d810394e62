import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One tenant sends several times its usual number of large requests at once. The requests of
 * another tenant, which are at sound workers, must still be answered.
 */
public final class Case8 {
    private static final int LARGE = 4_194_304;
    private static final int USUAL_AT_ONCE = 2;
    private static final int HOT_AT_ONCE = 12;
    private static final int STREAMS = 24;

    private static final String CONFIG =
            """
            {"version":7,"routes":[
              {"name":"draft","host":"h.example","prefix":"/draft/","kind":"stream","timeout-ms":12000,"target-latency-ms":600,"priority":0,"service":"writers","attempts":1,"public":false,"sticky":true,"resumable":false,"gap-aim-ms":300},
              {"name":"hold","host":"h.example","prefix":"/hold/","kind":"non_idempotent","timeout-ms":6000,"target-latency-ms":600,"priority":2,"service":"desk","attempts":1,"public":false}],
             "services":[{"name":"writers","health-path":"/health","max-conns":240,"protocol":"h1","tls":false,"engine":{"batch-slots":11,"kv-capacity":724795,"kv-token-bytes":35136,"link-mbps":550000.0,"moves":true,"backups":true,"stride":7,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}},
               {"name":"desk","health-path":"/health","max-conns":110,"protocol":"h1","tls":false}],
             "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[{"name":"t1","api-keys":["key1"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":293434,"burst":293434},
                        {"name":"t2","api-keys":["key2"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":293434,"burst":293434}]}
            """;

    /** The requests that a worker has read whole. */
    private static final Map<String, Boolean> atWorker = new ConcurrentHashMap<>();

    private Case8() {}

    public static void main(String[] arguments) {
        Rig.play(Case8::run);
    }

    private static void run(Rig rig) throws Exception {
        rig.host("z1");
        rig.host("z2");
        rig.store.put("op/config", CONFIG);
        for (int i = 0; i < 4; i++) {
            String zone = "z" + (i % 2 + 1);
            Rig.Worker writer = rig.worker("writers", zone, 11);
            writer.script =
                    (request, in, out, socket) -> {
                        atWorker.put(request.id(), true);
                        // Some prompts wait and are long.
                        Rig.sleep(1_800);
                        out.write(Rig.bytes(request.signedHead("200 OK") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                        for (int event = 1; event <= 20; event++) {
                            String text = "id: " + event + "\ndata: x\n\n";
                            out.write(Rig.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                            Rig.sleep(100);
                        }
                        out.write(Rig.bytes("0\r\n\r\n"));
                        return true;
                    };
            writer.register();
            Rig.Worker desk = rig.worker("desk", zone, 6);
            desk.script =
                    (request, in, out, socket) -> {
                        atWorker.put(request.id(), true);
                        Rig.sleep(100);
                        out.write(Rig.bytes(request.signedHead("200 OK") + "Content-Length: 2\r\n\r\nok"));
                        return true;
                    };
            desk.register();
        }
        rig.startHosts();
        Rig.sleep(4_000);
        Rig.Host host = rig.hosts.get(0);
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        int uploads = Rig.TROUBLE ? HOT_AT_ONCE : USUAL_AT_ONCE;
        CountDownLatch latch = new CountDownLatch(STREAMS + uploads);
        byte[] prompt = new byte[12_000];
        Arrays.fill(prompt, (byte) 'a');
        for (int i = 0; i < STREAMS; i++) {
            Rig.spawn(
                    () -> {
                        String id = Rig.newId();
                        try (Socket socket = host.connect()) {
                            InputStream in = new BufferedInputStream(socket.getInputStream());
                            // The channel is a kept one: it had a request and its answer before.
                            socket.getOutputStream().write(Rig.bytes(head("hold", Rig.newId(), "key1", "", 3) + "abc"));
                            Rig.Answer first = Rig.readAnswer(socket, in, 7_000);
                            if (first.status != 200) {
                                rig.note("first request of a channel: %s", first);
                            }
                            String tokens = "X-Model: m\r\nX-Token-Counts: 300,60\r\nX-Prompt-Prefix: 5c1e07a2:60," + id.substring(0, 8) + ":240\r\n";
                            socket.getOutputStream().write(Rig.bytes(head("draft", id, "key1", tokens, prompt.length)));
                            socket.getOutputStream().write(prompt);
                            Rig.Answer answer = Rig.readAnswer(socket, in, 14_000);
                            boolean passedOn = atWorker.containsKey(id);
                            rig.note("stream %s: %s, read by a worker: %s", id, answer, passedOn);
                            if (answer.end.equals("complete") && answer.status == 200) {
                                complete.incrementAndGet();
                            } else if (answer.end.equals("cut") && !answer.anyByte && passedOn) {
                                closed.incrementAndGet();
                            } else {
                                other.incrementAndGet();
                            }
                        } catch (IOException e) {
                            rig.note("stream %s: %s, read by a worker: %s", id, e.getMessage(), atWorker.containsKey(id));
                            other.incrementAndGet();
                        }
                        latch.countDown();
                    });
        }
        Rig.sleep(1_200);
        rig.note("tenant t2 sends %d requests of %d bytes at once", uploads, LARGE);
        byte[] large = new byte[LARGE];
        for (int i = 0; i < uploads; i++) {
            Rig.spawn(
                    () -> {
                        String id = Rig.newId();
                        try (Socket socket = host.connect()) {
                            InputStream in = new BufferedInputStream(socket.getInputStream());
                            socket.getOutputStream().write(Rig.bytes(head("hold", id, "key2", "", LARGE)));
                            socket.getOutputStream().write(large);
                            rig.note("large %s: %s, read by a worker: %s", id, Rig.readAnswer(socket, in, 8_000), atWorker.containsKey(id));
                        } catch (IOException e) {
                            rig.note("large %s: %s, read by a worker: %s", id, e.getMessage(), atWorker.containsKey(id));
                        }
                        latch.countDown();
                    });
        }
        latch.await(25, TimeUnit.SECONDS);
        rig.note("process alive: %s", host.process.isAlive());
        boolean broken = closed.get() > 3;
        rig.finish(broken ? 1 : 0, "%s: of %d streams %d are complete, %d were at a sound worker when their kept channel was closed without an answer, %d other"
                .formatted(broken ? "BROKEN" : "held", STREAMS, complete.get(), closed.get(), other.get()));
    }

    private static String head(String route, String id, String key, String more, int length) {
        return "POST /" + route + "/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + (route.equals("draft") ? 12_000 : 6_000)
                + "\r\n" + more + "Api-Key: " + key + "\r\nContent-Length: " + length + "\r\n\r\n";
    }
}
