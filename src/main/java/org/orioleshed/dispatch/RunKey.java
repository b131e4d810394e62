package org.orioleshed.dispatch;

import org.orioleshed.model.HostId;

/**
 * Names one placement of a request: each time that it needs a server it gets a new key.
 *
 * @param origin the host that accepted the request
 * @param number unique at that host over its starts
 */
public record RunKey(HostId origin, long number) {
    @Override
    public String toString() {
        return origin + "/" + Long.toUnsignedString(number, Character.MAX_RADIX);
    }
}
