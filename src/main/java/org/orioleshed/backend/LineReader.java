package org.orioleshed.backend;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads UTF-8 lines with a length limit. */
final class LineReader {
    private final InputStream in;
    private final int maxLineBytes;

    LineReader(InputStream in, int maxLineBytes) {
        this.in = new BufferedInputStream(in);
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Returns the next line without its terminator, or empty at the end of the stream.
     *
     * @throws IOException if reading fails or a line is too long
     */
    Optional<String> next() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int read = in.read();
        if (read < 0) {
            return Optional.empty();
        }
        while (read >= 0 && read != '\n') {
            if (line.size() >= maxLineBytes) {
                throw new IOException("line of a stream exceeds " + maxLineBytes + " bytes");
            }
            line.write(read);
            read = in.read();
        }
        String text = line.toString(StandardCharsets.UTF_8);
        return Optional.of(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
    }
}
