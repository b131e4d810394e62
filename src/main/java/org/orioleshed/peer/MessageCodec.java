package org.orioleshed.peer;

/**
 * Turns one family of messages into bytes and back.
 *
 * @param <T> the sealed type of the messages
 */
public interface MessageCodec<T> {
    /** Returns the bytes of {@code message}. */
    byte[] encode(T message);

    /**
     * Returns the message in {@code bytes}.
     *
     * @throws BadMessageException when the bytes are no such message
     */
    T decode(byte[] bytes) throws BadMessageException;
}
