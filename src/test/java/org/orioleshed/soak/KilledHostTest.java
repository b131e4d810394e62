package org.orioleshed.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.orioleshed.platform.StoreFake;
import org.orioleshed.platform.WorkerFake;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of a host process that is killed in the middle of an answer. */
public class KilledHostTest {
    private static final String CONFIG =
            """
            {"version":1,"routes":[
              {"name":"stream","host":"h","prefix":"/s/","kind":"stream","timeout-ms":60000,
               "target-latency-ms":10000,"gap-aim-ms":30000,"attempts":1,"service":"pool",
               "public":true}],
             "services":[{"name":"pool","max-conns":100,
                          "engine":{"kv-capacity":1000000,"stride":1}}],
             "limits":{"max-header-bytes":4096,"max-body-bytes":65536,
                       "header-timeout-ms":3000,"idle-timeout-ms":15000},
             "tenants":[{"name":"ws","api-keys":["key"],"unit":"tokens","plain-tokens":10,
                         "rate-per-s":0,"burst":0}]}
            """;
    private static final String ENTRY =
            """
            {"service":"pool","address":"127.0.0.1:%d","zone":"z0","version":"v1","batch-slots":8,
             "state":"ready","seq":1}\
            """;
    private static final String REQUEST =
            String.join(
                    "\r\n",
                    "POST /s/x HTTP/1.1",
                    "Host: h",
                    "X-Request-Id: r",
                    "X-Deadline-Ms: 50000",
                    "Content-Length: 0",
                    "\r\n");
    private static final String EVENT = "id: 1\ndata: e1\n\n";
    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final long START_SECONDS = 60;

    private final History history = new History();
    private StoreFake store;
    private WorkerFake server;
    private Path directory;
    private String ip;
    private HostProcess host;

    @BeforeMethod
    public void open() throws IOException {
        directory = Files.createTempDirectory("killed-host");
        store = new StoreFake();
        server = new WorkerFake();
        store.takeWrites();
        store.put("op/config", CONFIG);
        store.put("servers/i-1", ENTRY.formatted(server.address().getPort()));
        List<String> ips = HostAddresses.choose(1);
        ip = ips.getFirst();
        Path settings = directory.resolve("settings.json");
        HostSettings.write(settings, ips, ip, "z0", store.address().getPort(), 1);
        host = new HostProcess(settings, directory.resolve("log"), history);
    }

    @AfterMethod
    public void close() throws IOException, InterruptedException {
        host.signal("KILL");
        host.awaitExitOrKill(1_000);
        server.close();
        store.close();
    }

    @DataProvider
    Object[][] framings() {
        return new Object[][] {
            {"\r\n" + EVENT}, {WorkerFake.STREAM + WorkerFake.chunk(EVENT)},
        };
    }

    /** Guards against an answer that the end of its host cuts off and that looks complete. */
    @Test(dataProvider = "framings")
    public void theKillOfAHostDoesNotEndItsStreamsAsComplete(String fieldsAndBody)
            throws Exception {
        server.script(
                (request, out, in) -> {
                    String head = WorkerFake.head(request, 200, true);
                    out.write(WorkerFake.bytes(head + fieldsAndBody));
                    out.flush();
                    return in.read() >= 0;
                });
        awaitReady();
        try (Socket caller = connect(HostAddresses.CALLERS_PORT)) {
            caller.getOutputStream().write(WorkerFake.bytes(REQUEST));
            InputStream in = caller.getInputStream();
            String begin = readUntil(in, EVENT);
            assertTrue(begin.startsWith("HTTP/1.1 200"), begin);
            host.signal("KILL");
            if (begin.contains("chunked")) {
                assertEquals(rest(in).contains("0\r\n\r\n"), false);
            } else {
                assertThrows(SocketException.class, () -> rest(in));
            }
        }
    }

    private void awaitReady() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
        while (!isReady()) {
            assertTrue(System.nanoTime() < endNanos, "not ready; log in " + directory);
            Thread.sleep(50);
        }
    }

    private boolean isReady() {
        try (Socket socket = connect(HostAddresses.READY_PORT)) {
            socket.getOutputStream()
                    .write(
                            WorkerFake.bytes(
                                    "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
            byte[] begin = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            return new String(begin, StandardCharsets.ISO_8859_1).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    private Socket connect(int port) throws IOException {
        Socket socket = new Socket(ip, port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static String readUntil(InputStream in, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf(end) < 0) {
            int next = in.read();
            assertTrue(next >= 0, read.toString());
            read.append((char) next);
        }
        return read.toString();
    }

    private static String rest(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }
}
