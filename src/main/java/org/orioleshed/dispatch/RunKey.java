package org.orioleshed.dispatch;

import org.orioleshed.model.HostId;

/**
 * Identifies one placement of a request; each further attempt gets a new key.
 *
 * @param origin the host that accepted the request
 * @param number unique at that host, also across its restarts
 */
public record RunKey(HostId origin, long number) {
    @Override
    public String toString() {
        return origin + "/" + Long.toUnsignedString(number, Character.MAX_RADIX);
    }
}
