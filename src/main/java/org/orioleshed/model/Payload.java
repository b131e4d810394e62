package org.orioleshed.model;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** An immutable byte sequence: the body of a request, or a part of an answer. */
public final class Payload {
    /** The empty payload. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns a payload with a copy of {@code bytes}. */
    public static Payload of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Payload(bytes.clone());
    }

    /** Returns the payload of {@code text} in UTF-8. */
    public static Payload of(String text) {
        return new Payload(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the concatenation of {@code parts}. */
    public static Payload join(List<Payload> parts) {
        int size = parts.stream().mapToInt(Payload::size).sum();
        byte[] joined = new byte[size];
        int end = 0;
        for (Payload part : parts) {
            System.arraycopy(part.bytes, 0, joined, end, part.bytes.length);
            end += part.bytes.length;
        }
        return size == 0 ? EMPTY : new Payload(joined);
    }

    /** Returns the length in bytes. */
    public int size() {
        return bytes.length;
    }

    /** Returns a copy of the bytes. */
    public byte[] toBytes() {
        return bytes.clone();
    }

    /** Returns the bytes decoded as UTF-8. */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Payload[" + bytes.length + " bytes]";
    }
}
