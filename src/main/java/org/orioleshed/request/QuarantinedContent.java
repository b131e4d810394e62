package org.orioleshed.request;

import org.orioleshed.model.Fingerprint;

/**
 * Content that was running when servers crashed: quarantined or suspect.
 *
 * @param fingerprint the fingerprint of the content
 * @param crashes the number of recorded crashes
 * @param quarantined whether the content must not be run; if false, it is only suspect
 * @param remainingMillis the time until the record expires, in milliseconds
 */
public record QuarantinedContent(
        Fingerprint fingerprint, int crashes, boolean quarantined, long remainingMillis) {}
