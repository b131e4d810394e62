package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets, for the stand-ins. */
final class Http {
    /** A request or response: its first line, header fields by lower-case name, and body. */
    record Message(String line, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message with its body; returns null if the connection ended before it began. */
    static Message read(BufferedInputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.writeBytes(chunk);
            }
        } else if (!head.header("content-length").isEmpty()) {
            body.writeBytes(readFully(in, Integer.parseInt(head.header("content-length"))));
        }
        return new Message(head.line(), head.headers(), body.toByteArray());
    }

    /** Reads the first line and the header fields; returns null if the connection ended. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = readLine(in); field != null; field = readLine(in)) {
            if (field.isEmpty()) {
                return new Message(line, headers, new byte[0]);
            }
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
        }
        throw new EOFException("connection ended inside a head");
    }

    /** Reads one chunk; empty at the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("connection ended inside a body");
        }
        byte[] chunk = readFully(in, Integer.parseInt(size.split(";")[0].strip(), 16));
        readLine(in);
        return chunk;
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("connection ended inside a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString();
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.isEmpty() ? null : line.toString();
    }

    /** Writes a message whose body has a length. */
    static void write(OutputStream out, String line, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(line).append("\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        out.write(all.toByteArray());
        out.flush();
    }

    private Http() {}
}
