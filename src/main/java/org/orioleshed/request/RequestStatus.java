package org.orioleshed.request;

import org.orioleshed.model.Outcome;

/** What is known of a request key. */
public sealed interface RequestStatus {
    /** No host that could be asked knows the key, and no claim stands for it. */
    record Unknown() implements RequestStatus {}

    /** The request waits or runs. */
    record Pending() implements RequestStatus {}

    /** The request has its final outcome. */
    record Final(Outcome outcome) implements RequestStatus {}
}
