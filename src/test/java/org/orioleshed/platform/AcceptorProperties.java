package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Properties of the callers' address: whatever bytes come, there is a clear answer or a closed
 * connection, nothing is run that was not asked, and the next caller is served.
 */
class AcceptorProperties {
    private static final String GOOD = Fleet.request("/o/x", "good", "body");
    private static Fleet fleet;

    @BeforeContainer
    static void open() throws IOException {
        fleet = new Fleet(4_000, 100_000_000);
    }

    @AfterContainer
    static void close() throws IOException {
        fleet.close();
    }

    @Property(tries = 60, seed = "7")
    void randomBytesAreAnsweredOrClosed(@ForAll byte[] bytes) throws IOException {
        check(bytes);
    }

    @Property(tries = 120, seed = "8")
    void aRequestWithOneSpoiltPlaceIsAnsweredOrClosed(@ForAll("spoilt") byte[] bytes)
            throws IOException {
        check(bytes);
    }

    @Property(tries = 60, seed = "9")
    void aTruncatedRequestIsNotRun(@ForAll("truncated") byte[] bytes) throws IOException {
        int before = fleet.first.requests.size();
        String answer = sendAndEnd(bytes);
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 4"), answer);
        assertEquals(fleet.first.requests.size(), before);
    }

    @Provide
    Arbitrary<byte[]> truncated() {
        return Arbitraries.integers()
                .between(0, GOOD.length() - 1)
                .map(length -> WorkerFake.bytes(GOOD.substring(0, length)));
    }

    @Provide
    Arbitrary<byte[]> spoilt() {
        Arbitrary<Integer> places = Arbitraries.integers().between(0, GOOD.length() - 1);
        Arbitrary<Byte> values = Arbitraries.bytes();
        return Combinators.combine(places, values)
                .as(
                        (place, value) -> {
                            byte[] bytes = WorkerFake.bytes(GOOD);
                            bytes[place] = value;
                            return bytes;
                        });
    }

    private static void check(byte[] bytes) throws IOException {
        String answer = sendAndEnd(bytes);
        assertTrue(answer.isEmpty() || answer.matches("(?s)HTTP/1\\.1 [2345]\\d\\d .*"), answer);
        List<WorkerFake.Request> run = new ArrayList<>(fleet.first.requests);
        fleet.first.requests.clear();
        assertTrue(run.size() <= 1, "ran " + run);
        run.forEach(request -> assertTrue(request.body().length() <= 4, request.body()));
        assertTrue(fleet.send(GOOD).startsWith("HTTP/1.1 200"));
        fleet.first.requests.clear();
    }

    /** Sends bytes, ends the sending side, and returns what comes. */
    private static String sendAndEnd(byte[] bytes) throws IOException {
        try (Socket socket = fleet.connect()) {
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (java.net.SocketException e) {
            // Closed with bytes unread: the connection is reset, which is a clear end as well.
            return "";
        }
    }
}
