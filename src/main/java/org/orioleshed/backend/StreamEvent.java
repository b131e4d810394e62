package org.orioleshed.backend;

import org.orioleshed.model.Payload;

/** One event of an engine's stream. */
sealed interface StreamEvent {
    /** Tokens of the answer, from the given offset on. */
    record Tokens(int offset, int count, Payload text) implements StreamEvent {}

    /** The answer is whole. */
    record Stop() implements StreamEvent {}

    /** A sign of life or anything else without news. */
    record Idle() implements StreamEvent {}

    /** The engine reported an error within the stream. */
    record Failure(String detail) implements StreamEvent {}

    /** The line is no event of the protocol. */
    record Malformed(String detail) implements StreamEvent {}
}
