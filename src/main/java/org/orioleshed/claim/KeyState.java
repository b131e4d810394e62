package org.orioleshed.claim;

import org.orioleshed.claim.ClaimHead.PageRef;
import org.orioleshed.request.Claims;

/** The state of a key according to the cached head and pages. */
sealed interface KeyState {
    /** The key can be claimed. */
    record Free() implements KeyState {}

    /** Another run holds the key. */
    record Taken(ClaimRecord present) implements KeyState {
        Claims.Result result() {
            return present.taken();
        }
    }

    /** A page may contain the key and has to be read. */
    record InPage(PageRef page) implements KeyState {}
}
