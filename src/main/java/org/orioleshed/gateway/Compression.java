package org.orioleshed.gateway;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.orioleshed.peer.BadMessageException;

/** Compresses large messages between hosts, whose links may carry less than a megabyte a second. */
final class Compression {
    private Compression() {}

    /** Returns the compressed bytes. */
    static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream(bytes.length / 8);
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream out = new DeflaterOutputStream(compressed, deflater)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        } finally {
            deflater.end();
        }
        return compressed.toByteArray();
    }

    /**
     * Returns the original bytes.
     *
     * @param maxBytes the maximum number of original bytes
     * @throws BadMessageException if the bytes are malformed or expand to more than {@code
     *     maxBytes}
     */
    static byte[] decompress(byte[] compressed, int maxBytes) throws BadMessageException {
        try (InflaterInputStream in =
                new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            byte[] bytes = in.readNBytes(maxBytes);
            if (in.read() >= 0) {
                throw new BadMessageException(
                        "compressed message expands to more than %d bytes".formatted(maxBytes));
            }
            return bytes;
        } catch (IOException e) {
            throw new BadMessageException("malformed compressed message", e);
        }
    }
}
