package org.orioleshed.platform;

import static org.orioleshed.platform.Fleet.request;
import static org.orioleshed.platform.WorkerFake.bytes;
import static org.orioleshed.platform.WorkerFake.head;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.orioleshed.platform.WorkerFake.Script;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of answers without a stated end that a server sends while it is still being sent the
 * request. A part of one must not reach a caller as the whole.
 */
public class EarlyAnswersTest {
    private static final String EVENT = "id: 1\ndata: e1\n\n";
    private static final int SMALL_BYTES = 40 << 10;

    /** More than the socket buffers between host and server hold. */
    private static final int LARGE_BYTES = 8 << 20;

    private static final long TIMEOUT_MILLIS = 2_000;

    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    /** How a server ends its connection after the part that it sends. */
    private enum End {
        RESET,
        RESET_LATER,
        /** Ends what it sends, and reads the rest of the request. */
        CLOSE
    }

    /** What a caller read, and whether its connection ended in order. */
    private record Answer(String text, boolean orderly) {
        boolean isSuccess() {
            return text.startsWith("HTTP/1.1 200");
        }

        boolean statesEnd() {
            return text.endsWith("\r\n0\r\n\r\n")
                    || text.toLowerCase(Locale.ROOT).contains("\r\ncontent-length:");
        }
    }

    private static String config() {
        return Fleet.CONFIG
                .formatted(TIMEOUT_MILLIS, 100_000_000)
                .replace("\"max-body-bytes\":65536", "\"max-body-bytes\":16777216");
    }

    private static Script answering(String part, End end) {
        return (request, out, in) -> {
            out.write(bytes(head(request, 200, true) + "\r\n" + part));
            out.flush();
            switch (end) {
                case RESET -> throw new WorkerFake.ResetException(0);
                case RESET_LATER -> throw new WorkerFake.ResetException();
                case CLOSE -> throw new WorkerFake.HalfCloseException();
            }
            return false;
        };
    }

    private static Answer send(Socket socket, String request, long pauseMillis) throws IOException {
        StringBuilder text = new StringBuilder();
        try (socket) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.getOutputStream().write(bytes(request));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[16 << 10];
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                text.append(new String(buffer, 0, read, StandardCharsets.ISO_8859_1));
                Thread.sleep(pauseMillis);
            }
            return new Answer(text.toString(), true);
        } catch (SocketException e) {
            return new Answer(text.toString(), false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(text.toString(), false);
        }
    }

    private static String upload(String path, int bodyBytes) {
        return request(path, "r", "x".repeat(bodyBytes));
    }

    @DataProvider
    Object[][] uploads() {
        List<Object[]> rows = new ArrayList<>();
        for (String path : List.of("/o/x", "/i/x", "/s/x")) {
            for (int bodyBytes : new int[] {SMALL_BYTES, LARGE_BYTES}) {
                for (String part : List.of("", EVENT, EVENT + "id: 2\nda")) {
                    for (End end : End.values()) {
                        rows.add(new Object[] {path, bodyBytes, part, end});
                    }
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** Guards against a write that fails and hides that the answer was reset. */
    @Test(dataProvider = "uploads")
    public void aPartOfAnEarlyAnswerDoesNotLookComplete(
            String path, int bodyBytes, String part, End end) throws IOException {
        try (Fleet fleet = Fleet.withRegions(config(), Map.of())) {
            fleet.first.leaveBodiesUnread();
            fleet.first.script(answering(part, end));
            Answer answer = send(fleet.connect(), upload(path, bodyBytes), 0);
            check(answer, end, fleet.log());
        }
    }

    private static void check(Answer answer, End end, String log) {
        assertFalse(answer.isSuccess() && answer.statesEnd(), answer + log);
        if (end != End.CLOSE) {
            assertFalse(answer.isSuccess() && answer.orderly(), answer + log);
        }
    }

    /** Guards against the same while its caller reads slowly, so that a part waits in the host. */
    @Test
    public void aCallerThatReadsSlowlyHearsOfTheReset() throws IOException {
        try (Fleet fleet = Fleet.withRegions(config(), Map.of())) {
            fleet.first.leaveBodiesUnread();
            fleet.first.script(answering(EVENT.repeat(40_000), End.RESET_LATER));
            Answer answer = send(fleet.connect(4_096), upload("/s/x", LARGE_BYTES), 10);
            check(answer, End.RESET_LATER, fleet.log());
        }
    }

    /** Guards against the same between two hosts. */
    @Test
    public void aForwardedUploadDoesNotLookComplete() throws IOException {
        try (RelayFleet fleet = new RelayFleet(3, config())) {
            RelayFleet.Host cutOff = fleet.hosts.getFirst();
            fleet.loseServers(ServerPath.Fault.REFUSED);
            for (WorkerFake server : fleet.servers) {
                server.leaveBodiesUnread();
                server.script(answering(EVENT, End.RESET_LATER));
            }
            for (String path : List.of("/o/x", "/s/x")) {
                Answer answer = send(cutOff.connect(), upload(path, LARGE_BYTES), 0);
                check(answer, End.RESET_LATER, cutOff.log());
            }
            assertTrue(fleet.received("r") > 0, cutOff.log());
        }
    }
}
