package org.orioleshed.request;

import org.orioleshed.model.Fingerprint;

/**
 * Content that was running when servers crashed.
 *
 * @param fingerprint the content
 * @param crashes the crashes counted
 * @param quarantined whether it must not be run; a suspect only, if not
 * @param remainingMillis how long the mark still stands, in milliseconds
 */
public record QuarantinedContent(
        Fingerprint fingerprint, int crashes, boolean quarantined, long remainingMillis) {}
