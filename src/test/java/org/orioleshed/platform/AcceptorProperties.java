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
 * Properties of the callers' listener: for any bytes received, it sends a valid response or closes
 * the connection, runs only complete requests, and serves the next caller.
 */
class AcceptorProperties {
    private static final String VALID_REQUEST = Fleet.request("/o/x", "good", "body");
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
    void requestWithOneCorruptedByteIsAnsweredOrClosed(@ForAll("corrupted") byte[] bytes)
            throws IOException {
        check(bytes);
    }

    @Property(tries = 60, seed = "9")
    void truncatedRequestIsNotRun(@ForAll("truncated") byte[] bytes) throws IOException {
        int before = fleet.first.requests.size();
        String response = sendAndEnd(bytes);
        assertTrue(response.isEmpty() || response.startsWith("HTTP/1.1 4"), response);
        assertEquals(fleet.first.requests.size(), before);
    }

    @Provide
    Arbitrary<byte[]> truncated() {
        return Arbitraries.integers()
                .between(0, VALID_REQUEST.length() - 1)
                .map(length -> WorkerFake.bytes(VALID_REQUEST.substring(0, length)));
    }

    @Provide
    Arbitrary<byte[]> corrupted() {
        Arbitrary<Integer> positions =
                Arbitraries.integers().between(0, VALID_REQUEST.length() - 1);
        Arbitrary<Byte> values = Arbitraries.bytes();
        return Combinators.combine(positions, values)
                .as(
                        (position, value) -> {
                            byte[] bytes = WorkerFake.bytes(VALID_REQUEST);
                            bytes[position] = value;
                            return bytes;
                        });
    }

    private static void check(byte[] bytes) throws IOException {
        String response = sendAndEnd(bytes);
        assertTrue(
                response.isEmpty() || response.matches("(?s)HTTP/1\\.1 [2345]\\d\\d .*"), response);
        List<WorkerFake.Request> run = new ArrayList<>(fleet.first.requests);
        fleet.first.requests.clear();
        assertTrue(run.size() <= 1, "requests run: " + run);
        run.forEach(request -> assertTrue(request.body().length() <= 4, request.body()));
        assertTrue(fleet.send(VALID_REQUEST).startsWith("HTTP/1.1 200"));
        fleet.first.requests.clear();
    }

    /** Sends bytes, half-closes the connection, and returns the response. */
    private static String sendAndEnd(byte[] bytes) throws IOException {
        try (Socket socket = fleet.connect()) {
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (java.net.SocketException e) {
            // The gateway closed with bytes unread, which resets the connection: also a valid end.
            return "";
        }
    }
}
