import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A requester's channel, which is kept for many requests, one after the other. */
final class Caller implements AutoCloseable {
    /** What came of a request: status 0 if the channel ended without a complete answer. */
    record Answer(int status, Map<String, String> headers, byte[] body, String failure) {
        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;
    int answered;

    Caller(InetSocketAddress address, int readMillis) throws IOException {
        socket.connect(address, 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readMillis);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sends the head of a request. */
    void sendHead(String head) throws IOException {
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Sends a body in chunks, or at once where its length was stated. */
    void sendBody(byte[] body, boolean chunked, int partBytes) throws IOException {
        for (int from = 0; from < body.length; from += partBytes) {
            int count = Math.min(partBytes, body.length - from);
            if (chunked) {
                out.write((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            out.write(body, from, count);
            if (chunked) {
                out.write(new byte[] {'\r', '\n'});
            }
        }
        if (chunked) {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        out.flush();
    }

    Answer answer() {
        try {
            String line = WorkerStandin.line(in);
            if (line == null) {
                return failed("closed");
            }
            int status = Integer.parseInt(line.split(" ")[1]);
            Map<String, String> headers = WorkerStandin.headers(in);
            byte[] body;
            if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                while (true) {
                    String size = WorkerStandin.line(in);
                    if (size == null) {
                        return failed("closed inside the body");
                    }
                    int count = Integer.parseInt(size, 16);
                    byte[] part = in.readNBytes(count);
                    if (part.length < count || WorkerStandin.line(in) == null) {
                        return failed("closed inside the body");
                    }
                    all.writeBytes(part);
                    if (count == 0) {
                        break;
                    }
                }
                body = all.toByteArray();
            } else {
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                body = in.readNBytes(length);
                if (body.length < length) {
                    return failed("closed inside the body");
                }
            }
            answered++;
            return new Answer(status, headers, body, "");
        } catch (IOException e) {
            return failed(String.valueOf(e.getMessage()));
        }
    }

    private static Answer failed(String why) {
        return new Answer(0, Map.of(), new byte[0], why);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is gone in any case.
        }
    }
}
