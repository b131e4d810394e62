package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of what callers get from a host that was told to stop, until its process is gone. */
public class LeavingTest {
    private static final long TIMEOUT_MILLIS = 5_000;

    private Fleet fleet;

    @BeforeMethod
    public void open() throws IOException {
        fleet = new Fleet(TIMEOUT_MILLIS, 100_000);
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
    }

    /** A caller that notes what it has got. */
    private static final class Caller {
        private final Socket socket;
        private final ByteArrayOutputStream got = new ByteArrayOutputStream();

        Caller(Socket socket) {
            this.socket = socket;
            Thread.ofVirtual().start(this::read);
        }

        void send(String bytes) throws IOException {
            socket.getOutputStream().write(WorkerFake.bytes(bytes));
        }

        private void read() {
            try (InputStream in = socket.getInputStream()) {
                byte[] bytes = new byte[4_096];
                for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                    got.write(bytes, 0, count);
                }
            } catch (IOException e) {
                // What has come until then is what counts.
                return;
            }
        }

        String answer() {
            return got.toString(StandardCharsets.ISO_8859_1);
        }

        String status() {
            String answer = answer();
            return answer.isEmpty() ? "none" : answer.substring(9, 12);
        }
    }

    private Thread stop() {
        Thread stopping = Thread.ofVirtual().start(fleet::stop);
        Fleet.await(() -> fleet.log().contains("event=leaving"));
        return stopping;
    }

    /** Incident inc1: it was taken, and cut when the process ended. */
    @Test
    public void aStreamTakenAfterTheSignalIsNotCutByTheEndOfTheHost() throws Exception {
        fleet.first.script(Script.streaming(1, 300, 10));
        Thread stopping = stop();
        Caller caller = new Caller(fleet.connect());
        caller.send(request("/s/x", "r1", ""));
        stopping.join();
        String got = caller.answer();
        assertTrue(got.endsWith("0\r\n\r\n") || caller.status().equals("503"), got);
    }

    @Test
    public void aRequestThatWaitsWhenItsHostEndsIsToldNotRun() throws Exception {
        fleet.close();
        fleet = Fleet.with(TIMEOUT_MILLIS, 1, 2_000);
        fleet.first.script(Script.streaming(1, 500, 10));
        Caller running = new Caller(fleet.connect());
        running.send(request("/s/x", "r1", ""));
        Fleet.await(() -> fleet.first.requests.size() == 1);
        Caller waiting = new Caller(fleet.connect());
        waiting.send(request("/o/x", "r2", ""));
        Fleet.await(() -> fleet.requestsRead() == 2);
        stop().join();
        assertEquals(waiting.status(), "503", fleet.log());
        assertTrue(waiting.answer().contains("Retry-After: "), waiting.answer());
        assertEquals(fleet.first.requests.size(), 1);
    }

    @Test
    public void aCallStillAtWorkWhenItsHostEndsGetsAnAnswerThatPromisesNothing() throws Exception {
        fleet.first.script(
                (request, out, in) -> {
                    Thread.sleep(TIMEOUT_MILLIS);
                    return false;
                });
        Caller caller = new Caller(fleet.connect());
        caller.send(request("/o/x", "r1", ""));
        Fleet.await(() -> fleet.first.requests.size() == 1);
        stop().join();
        assertEquals(caller.status(), "502", fleet.log());
    }

    @Test
    public void aCallThatEndsBeforeItsHostIsServed() throws Exception {
        String quick = request("/o/x", "r1", "").replace("Ms: 5000", "Ms: 600");
        Thread stopping = stop();
        Caller caller = new Caller(fleet.connect());
        caller.send(quick);
        stopping.join();
        assertEquals(caller.status(), "200");
        assertTrue(caller.answer().contains("onnection: close"), caller.answer());
    }

    @Test
    public void aStreamOfARouteWhoseSlowOnesEndInTimeIsServed() throws Exception {
        fleet.first.script(Script.streaming(1, 3, 1));
        for (int i = 0; i < 16; i++) {
            assertEquals(fleet.send(request("/s/x", "r" + i, "")).substring(9, 12), "200");
        }
        Thread stopping = stop();
        Caller caller = new Caller(fleet.connect());
        caller.send(request("/s/x", "last", ""));
        stopping.join();
        assertEquals(caller.status(), "200");
        assertTrue(caller.answer().endsWith("0\r\n\r\n"), caller.answer());
    }

    /** A balancer with too few ready hosts goes on sending callers to those that leave. */
    @Test
    public void newConnectionsAreAnsweredUntilTheHostEnds() throws Exception {
        fleet.close();
        fleet = Fleet.with(TIMEOUT_MILLIS, 8, 4_500);
        fleet.first.script(Script.streaming(1, 350, 10));
        Caller kept = new Caller(fleet.connect());
        kept.send(request("/s/x", "long", "").replace("Connection: close\r\n", ""));
        Fleet.await(() -> fleet.first.requests.size() == 1);
        Thread stopping = stop();
        Thread.sleep(2_600);
        fleet.first.script(Script.answering(200, "ok"));
        Caller quick = new Caller(fleet.connect());
        quick.send(request("/o/x", "quick", "").replace("Ms: 5000", "Ms: 600"));
        Caller patient = new Caller(fleet.connect());
        patient.send(request("/o/x", "patient", ""));
        stopping.join();
        assertEquals(quick.status(), "200", fleet.log());
        assertEquals(patient.status(), "503", fleet.log());
        assertTrue(patient.answer().contains("Retry-After: 0.000"), patient.answer());
        assertTrue(kept.answer().endsWith("0\r\n\r\n"), fleet.log());
    }
}
