package org.orioleshed.peer;

/**
 * Encodes one family of messages as bytes and decodes them.
 *
 * @param <T> the sealed type of the messages
 */
public interface MessageCodec<T> {
    /** Returns the encoded form of {@code message}. */
    byte[] encode(T message);

    /**
     * Returns the message that {@code bytes} encode.
     *
     * @throws BadMessageException if the bytes are not a valid message of this family
     */
    T decode(byte[] bytes) throws BadMessageException;
}
