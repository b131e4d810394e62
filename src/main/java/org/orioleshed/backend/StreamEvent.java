package org.orioleshed.backend;

import org.orioleshed.model.Payload;

/** An event of an engine's stream. */
sealed interface StreamEvent {
    /** Generated tokens, starting at the given offset. */
    record Tokens(int offset, int count, Payload text) implements StreamEvent {}

    /** The answer is complete. */
    record Stop() implements StreamEvent {}

    /** A keep-alive or other line without tokens. */
    record Idle() implements StreamEvent {}

    /** The engine reported an error within the stream. */
    record Failure(String detail) implements StreamEvent {}

    /** The line is not a valid event of the protocol. */
    record Malformed(String detail) implements StreamEvent {}
}
