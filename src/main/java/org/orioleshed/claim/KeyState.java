package org.orioleshed.claim;

import org.orioleshed.claim.ClaimHead.PageRef;
import org.orioleshed.request.Claims;

/** What is known of a key that is asked for. */
sealed interface KeyState {
    /** Nothing is in the way of a claim. */
    record Free() implements KeyState {}

    /** Another run has the key. */
    record Taken(ClaimRecord present) implements KeyState {
        Claims.Result result() {
            return present.taken();
        }
    }

    /** A page may hold the key and has to be read. */
    record InPage(PageRef page) implements KeyState {}
}
