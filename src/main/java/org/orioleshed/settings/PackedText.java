package org.orioleshed.settings;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.orioleshed.model.Payload;

/** Text compressed for the store and for peers. */
final class PackedText {
    private static final byte PACKED = 1;
    private static final int MAX_TEXT_BYTES = 16_000_000;
    private static final int BUFFER_BYTES = 8_192;

    private PackedText() {}

    static Payload pack(String text) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(PACKED);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return Payload.of(out.toByteArray());
        } finally {
            deflater.end();
        }
    }

    /** Returns the text in {@code value}; empty when it is damaged or far too long. */
    static Optional<String> unpack(Payload value) {
        byte[] bytes = value.toBytes();
        if (bytes.length == 0 || bytes[0] != PACKED) {
            return Optional.of(value.text());
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes, 1, bytes.length - 1);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                boolean stuck = count == 0 && !inflater.finished();
                if (stuck || out.size() > MAX_TEXT_BYTES) {
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
