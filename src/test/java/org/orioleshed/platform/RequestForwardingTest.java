package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.request;
import static org.orioleshed.platform.WorkerFake.bytes;
import static org.orioleshed.platform.WorkerFake.chunk;
import static org.orioleshed.platform.WorkerFake.head;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.orioleshed.platform.ServerPath.Fault;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests over sockets of a host that can't reach servers and forwards requests to other hosts. */
public class RequestForwardingTest {
    private static final long TIMEOUT_MILLIS = 4_000;

    private RelayFleet fleet;
    private RelayFleet.Host cutOff;

    @BeforeMethod
    public void open() throws IOException {
        fleet = new RelayFleet(3, TIMEOUT_MILLIS, 10_000_000);
        cutOff = fleet.hosts.getFirst();
    }

    @AfterMethod
    public void close() throws IOException {
        fleet.close();
    }

    private static String status(String response) {
        return response.startsWith("HTTP/1.1 ") ? response.substring(9, 12) : response;
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {{Fault.REFUSED}, {Fault.HANGING}, {Fault.RESET}};
    }

    /** Guards against a host that fails its callers while other hosts reach the servers. */
    @Test(dataProvider = "faults")
    public void forwardsWhileNoServerIsReachable(Fault fault) throws IOException {
        fleet.loseServers(fault);
        String response = cutOff.send(request("/o/x?q=1", "r1", "body"));
        assertEquals(status(response), "200", cutOff.log());
        assertTrue(response.contains("X-Response-Signature: s"), response);
        assertTrue(response.endsWith("\r\n\r\nok"), response);
        assertEquals(fleet.received("r1"), 1);
        fleet.script(Script.streaming(1, 5, 1));
        String stream = cutOff.send(request("/s/x", "r2", ""));
        assertEquals(status(stream), "200", cutOff.log());
        assertTrue(stream.contains("data: e5") && stream.endsWith("0\r\n\r\n"), stream);
    }

    /** Guards against forwarding by a host that reaches its servers. */
    @Test
    public void doesNotForwardWhileServersAreReachable() {
        assertEquals(status(cutOff.send(request("/o/x", "r1", ""))), "200");
        assertEquals(cutOff.counter("requests_forwarded"), 0);
    }

    /** Guards against callers that wait for servers which this host alone can't reach. */
    @Test
    public void usesTheReachableHalfDirectly() throws IOException {
        fleet.set(RelayFleet.SERVERS / 2, Fault.REFUSED);
        for (int i = 0; i < 20; i++) {
            assertEquals(status(cutOff.send(request("/o/x", "r" + i, ""))), "200", cutOff.log());
        }
        assertEquals(cutOff.counter("requests_forwarded"), 0);
    }

    /** Guards against requests that are passed around while no host reaches a server. */
    @Test
    public void refusesWhileTheServersAreDown() throws IOException {
        for (WorkerFake server : fleet.servers) {
            server.close();
        }
        fleet.set(RelayFleet.SERVERS, Fault.REFUSED);
        for (int i = 0; i < 4; i++) {
            String response = cutOff.send(request("/o/x", "r" + i, ""));
            assertEquals(status(response), "503", cutOff.log());
            assertTrue(response.contains("Retry-After: "), response);
        }
        // Each request is sent to at most two relays, which forward nothing.
        assertTrue(cutOff.counter("requests_forwarded") <= 8, cutOff.log());
        assertEquals(fleet.hosts.get(1).counter("requests_forwarded"), 0);
        assertEquals(fleet.hosts.get(2).counter("requests_forwarded"), 0);
    }

    private void resetRelayPaths() {
        for (ServerPath path : fleet.relayPaths) {
            try {
                path.set(Fault.RESET);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Guards against a second run of work that may run once, and against a "not run" for it. */
    @Test
    public void workThatMayRunOnceIsNotRepeatedWhenItsRelayIsLost() throws IOException {
        fleet.loseServers(Fault.REFUSED);
        fleet.script(
                (request, out, in) -> {
                    resetRelayPaths();
                    return false;
                });
        assertEquals(status(cutOff.send(request("/o/x", "r1", ""))), "502", cutOff.log());
        assertEquals(fleet.received("r1"), 1);
    }

    /** Returns the path to the relay of the first host's last request. */
    private ServerPath currentRelayPath() {
        String mark = "server=relay-127.0.0.";
        String log = cutOff.log();
        int number = log.charAt(log.lastIndexOf(mark) + mark.length()) - '0';
        return fleet.relayPaths.get(number - 1);
    }

    /** Guards against gaps and repeated events when a stream continues through another relay. */
    @Test
    public void streamResumesThroughAnotherRelay() throws IOException {
        fleet.loseServers(Fault.REFUSED);
        AtomicBoolean lost = new AtomicBoolean();
        fleet.script(
                (request, out, in) -> {
                    int from =
                            Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
                    if (from > 0 || lost.get()) {
                        return Script.streaming(from + 1, 5, 1).play(request, out, in);
                    }
                    out.write(bytes(head(request, 200, true) + WorkerFake.STREAM));
                    out.write(bytes(chunk("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\nda")));
                    out.flush();
                    Thread.sleep(200);
                    lost.set(true);
                    currentRelayPath().resetOpen();
                    return false;
                });
        String response = cutOff.send(request("/s/x", "r1", ""));
        assertTrue(response.endsWith("0\r\n\r\n"), response + cutOff.log());
        for (int event = 1; event <= 5; event++) {
            assertEquals(response.split("data: e" + event, -1).length, 2, response);
        }
        assertEquals(fleet.received("r1"), 2);
    }

    /** Guards against servers that go on with work whose caller has left the forwarding host. */
    @Test
    public void aCallerThatDisconnectsEndsTheWork() throws IOException {
        fleet.loseServers(Fault.REFUSED);
        AtomicBoolean ended = new AtomicBoolean();
        fleet.script(
                (request, out, in) -> {
                    ended.set(in.read() < 0);
                    return false;
                });
        try (Socket caller = cutOff.connect()) {
            caller.getOutputStream().write(bytes(request("/o/x", "r1", "")));
            Fleet.await(() -> fleet.received("r1") == 1);
        }
        Fleet.await(ended::get);
    }

    /** Guards against relays that take in more than their bound, and against false refusals. */
    @Test
    public void relaysRefuseWhatExceedsTheirBound() throws IOException, InterruptedException {
        fleet.loseServers(Fault.REFUSED);
        CountDownLatch release = new CountDownLatch(1);
        fleet.script(
                (request, out, in) -> {
                    release.await();
                    return Script.answering(200, "ok").play(request, out, in);
                });
        // An open route charges no quota, so that only the bound refuses requests.
        List<Thread> callers = new ArrayList<>();
        List<String> answers = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < 40; i++) {
            String id = "r" + i;
            callers.add(
                    Thread.ofVirtual()
                            .start(() -> answers.add(id + cutOff.send(request("/p/x", id, "")))));
        }
        Fleet.await(() -> answers.size() >= 8);
        release.countDown();
        for (Thread caller : callers) {
            caller.join();
        }
        int refused = 0;
        for (String answer : answers) {
            String id = answer.substring(0, answer.indexOf("HTTP"));
            boolean served = answer.contains("HTTP/1.1 200");
            refused += served ? 0 : 1;
            assertTrue(served || answer.contains("HTTP/1.1 503"), answer);
            assertTrue(served || answer.contains("Retry-After: "), answer);
            assertEquals(fleet.received(id), served ? 1 : 0, answer);
        }
        assertEquals(refused, 8);
        // Two relays refused each of them; some accepted ones were refused by one relay first.
        assertTrue(
                fleet.hosts.get(1).counter("requests_refused_for_hosts")
                                + fleet.hosts.get(2).counter("requests_refused_for_hosts")
                        >= 2L * refused,
                cutOff.log());
    }

    /** Guards against callers that set the fields by which hosts mark forwarded requests. */
    @Test
    public void aCallersOwnMarkHasNoEffect() {
        String marked =
                request("/o/x", "r1", "")
                        .replace("Host: h", "Host: h\r\nOrioleshed-Forwarded: 127.0.0.2;charged");
        assertEquals(status(cutOff.send(marked)), "200");
        fleet.servers.stream()
                .flatMap(server -> List.copyOf(server.requests).stream())
                .forEach(
                        request ->
                                assertFalse(request.headers().containsKey("orioleshed-forwarded")));
        assertEquals(cutOff.counter("requests_accepted_for_hosts"), 0);
    }

    /** Guards against forwarding that outlasts the partition. */
    @Test
    public void servesDirectlyAfterTheServersReturned() throws IOException {
        fleet.loseServers(Fault.REFUSED);
        fleet.set(RelayFleet.SERVERS, Fault.NONE);
        Fleet.await(() -> cutOff.log().contains("event=servers_returned"));
        long before = cutOff.counter("requests_forwarded");
        assertEquals(status(cutOff.send(request("/o/x", "r1", ""))), "200", cutOff.log());
        assertEquals(cutOff.counter("requests_forwarded"), before);
    }

    @DataProvider
    Object[][] unstatedEnds() {
        return new Object[][] {{"/s/x", "id: 1\ndata: e1\n\n"}, {"/i/x", "whole"}};
    }

    /** Guards against an answer whose relay states an end that the server did not state. */
    @Test(dataProvider = "unstatedEnds")
    public void aRelayStatesNoEndThatItsServerDidNotState(String path, String body)
            throws IOException {
        fleet.loseServers(Fault.REFUSED);
        fleet.script(UnframedAnswersTest.unframed(200, true, body, false));
        String response = cutOff.send(request(path, "unstated", ""));
        UnframedAnswersTest.checkUnstated(response, 200, body);
        assertEquals(fleet.received("unstated"), 1);
    }
}
