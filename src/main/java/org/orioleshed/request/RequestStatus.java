package org.orioleshed.request;

import org.orioleshed.model.Outcome;

/** The status of a request key. */
public sealed interface RequestStatus {
    /** No reachable host has a request with the key, and no claim for it was found. */
    record Unknown() implements RequestStatus {}

    /** The request is waiting or running. */
    record Pending() implements RequestStatus {}

    /** The request has its final outcome. */
    record Final(Outcome outcome) implements RequestStatus {}
}
