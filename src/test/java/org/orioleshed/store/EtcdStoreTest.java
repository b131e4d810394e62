package org.orioleshed.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store.Result;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link EtcdStore} against a scripted server. */
public class EtcdStoreTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int CLOSE = -1;

    private record Scripted(int status, String body) {}

    private BlockingQueue<Scripted> script;
    private BlockingQueue<String> bodies;
    private HttpServer server;
    private EtcdStore store;

    @BeforeMethod
    public void open() throws IOException {
        BlockingQueue<Scripted> answers = new ArrayBlockingQueue<>(16);
        script = answers;
        bodies = new ArrayBlockingQueue<>(16);
        server = HttpServer.create(new InetSocketAddress(loopback(), 0), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> answer(exchange, answers));
        server.start();
        store = new EtcdStore(List.of(address()), EtcdStore.Options.DEFAULT);
    }

    @AfterMethod
    public void shut() {
        store.close();
        server.stop(0);
    }

    private static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    private URI address() {
        return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    }

    private static URI refusingAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return URI.create("http://127.0.0.1:" + socket.getLocalPort());
        }
    }

    private void answer(HttpExchange exchange, BlockingQueue<Scripted> answers) throws IOException {
        bodies.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        try {
            Scripted next = answers.take();
            if (next.status() == CLOSE) {
                exchange.close();
                return;
            }
            byte[] body = next.body().getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(next.status(), 0);
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(body);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String kv(String key, String value, long revision) {
        return "{\"key\":\"%s\",\"value\":\"%s\",\"mod_revision\":\"%d\"}"
                .formatted(base64(key), base64(value), revision);
    }

    private CompletableFuture<Result> swap() {
        return store.swap("k", 4, Payload.of("new"), 0, TIMEOUT_MILLIS);
    }

    @Test
    public void readsAKeyWithItsRevision() {
        script.add(
                new Scripted(
                        200,
                        "{\"header\":{\"revision\":\"9\"},\"kvs\":[" + kv("k", "value", 4) + "]}"));
        Result result = store.get("k", TIMEOUT_MILLIS).join();
        assertEquals(
                result,
                new Result.Entries(List.of(new Store.Entry("k", Payload.of("value"), 4)), 9));
    }

    @DataProvider
    Object[][] swapAnswers() {
        String conflict =
                "{\"header\":{\"revision\":\"9\"},\"responses\":[{\"response_range\":{\"kvs\":["
                        + kv("k", "other", 7)
                        + "]}}]}";
        return new Object[][] {
            {200, "{\"header\":{\"revision\":\"9\"},\"succeeded\":true}", Result.Swapped.class},
            {200, conflict, Result.Conflict.class},
            {200, "not json", Result.Unknown.class},
            {400, "{}", Result.Away.class},
            {429, "{}", Result.Away.class},
            {503, "{}", Result.Unknown.class},
            {CLOSE, "", Result.Unknown.class},
        };
    }

    @Test(dataProvider = "swapAnswers")
    public void tellsWhatIsUnknownFromWhatDidNotHappen(
            int status, String body, Class<? extends Result> expected) {
        script.add(new Scripted(status, body));
        assertEquals(swap().join().getClass(), expected);
        assertEquals(bodies.size(), 1);
    }

    @Test
    public void aWriteWithoutAnswerInTimeIsUnknown() {
        Result result = store.swap("k", 0, Payload.EMPTY, 0, 50).join();
        assertEquals(result.getClass(), Result.Unknown.class);
    }

    @Test
    public void aRefusedConnectionIsAway() throws IOException {
        try (EtcdStore refused =
                new EtcdStore(List.of(refusingAddress()), EtcdStore.Options.DEFAULT)) {
            Result result = refused.swap("k", 0, Payload.EMPTY, 0, TIMEOUT_MILLIS).join();
            assertEquals(result.getClass(), Result.Away.class);
        }
    }

    @Test
    public void aRefusedConnectionLeadsToTheNextAddress() throws IOException {
        script.add(new Scripted(200, "{\"header\":{\"revision\":\"9\"},\"succeeded\":true}"));
        try (EtcdStore two =
                new EtcdStore(List.of(refusingAddress(), address()), EtcdStore.Options.DEFAULT)) {
            Result result = two.swap("k", 0, Payload.EMPTY, 0, TIMEOUT_MILLIS).join();
            assertEquals(result, new Result.Swapped(9));
        }
    }

    @Test
    public void aSpentBudgetIsAwayWithoutACall() {
        try (EtcdStore bounded =
                new EtcdStore(List.of(address()), new EtcdStore.Options(1, 0, 1_000))) {
            assertEquals(bounded.get("k", TIMEOUT_MILLIS).join().getClass(), Result.Away.class);
            assertEquals(bodies.size(), 0);
        }
    }

    @Test
    public void readsAskedForWhileOneIsUnderWayShareTheNextCall() throws InterruptedException {
        CompletableFuture<Result> first = store.get("k", TIMEOUT_MILLIS);
        bodies.take();
        CompletableFuture<Result> second = store.get("k", TIMEOUT_MILLIS);
        CompletableFuture<Result> third = store.get("k", TIMEOUT_MILLIS);
        script.add(new Scripted(200, "{\"header\":{\"revision\":\"1\"}}"));
        script.add(new Scripted(200, "{\"header\":{\"revision\":\"2\"}}"));
        assertEquals(first.join(), new Result.Entries(List.of(), 1));
        assertEquals(second.join(), new Result.Entries(List.of(), 2));
        assertEquals(third.join(), new Result.Entries(List.of(), 2));
        assertEquals(bodies.size(), 1);
    }

    @Test
    public void aWatchTellsChangesInOrderAndThenItsEnd() throws InterruptedException {
        script.add(
                new Scripted(
                        200,
                        "{\"result\":{\"created\":true}}\n"
                                + "{\"result\":{\"events\":[{\"kv\":"
                                + kv("p/a", "1", 5)
                                + "},{\"type\":\"DELETE\",\"kv\":{\"key\":\""
                                + base64("p/b")
                                + "\",\"mod_revision\":\"6\"}}]}}\n"));
        Recorder recorder = new Recorder();
        store.watch("p/", 5, recorder);
        assertEquals(recorder.next(), "p/a=Optional[1]@5");
        assertEquals(recorder.next(), "p/b=Optional.empty@6");
        assertTrue(recorder.next().startsWith("break"));
    }

    @Test
    public void aSilentWatchIsBrokenOff() throws InterruptedException {
        try (EtcdStore impatient =
                new EtcdStore(List.of(address()), new EtcdStore.Options(100, 100, 10))) {
            Recorder recorder = new Recorder();
            impatient.watch("p/", 1, recorder);
            assertEquals(recorder.next(), "break silent");
        }
    }

    private static final class Recorder implements Store.Watcher {
        private final BlockingQueue<String> heard = new ArrayBlockingQueue<>(16);

        @Override
        public void onChange(String key, Optional<Payload> value, long revision) {
            heard.add(key + "=" + value.map(Payload::text) + "@" + revision);
        }

        @Override
        public void onBreak(String detail) {
            heard.add("break " + detail);
        }

        String next() throws InterruptedException {
            return String.valueOf(heard.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }
}
