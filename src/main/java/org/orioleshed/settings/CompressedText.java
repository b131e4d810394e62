package org.orioleshed.settings;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.orioleshed.model.Payload;

/**
 * Compresses text for the store and for peers. A compressed value is a marker byte followed by a
 * zlib stream; a value without the marker is plain text.
 */
final class CompressedText {
    private static final byte ZLIB_MARKER = 1;
    private static final int MAX_TEXT_BYTES = 16_000_000;
    private static final int BUFFER_BYTES = 8_192;

    private CompressedText() {}

    static Payload compress(String text) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(ZLIB_MARKER);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return Payload.of(out.toByteArray());
        } finally {
            deflater.end();
        }
    }

    /** Returns the text in {@code value}; empty if it is corrupt or exceeds the size limit. */
    static Optional<String> decompress(Payload value) {
        byte[] bytes = value.toBytes();
        if (bytes.length == 0 || bytes[0] != ZLIB_MARKER) {
            return Optional.of(value.text());
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes, 1, bytes.length - 1);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                boolean noProgress = count == 0 && !inflater.finished();
                if (noProgress || out.size() > MAX_TEXT_BYTES) {
                    return Optional.empty();
                }
                out.write(buffer, 0, count);
            }
            return Optional.of(out.toString(StandardCharsets.UTF_8));
        } catch (DataFormatException e) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }
}
