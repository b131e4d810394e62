package org.orioleshed.settings;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses addresses of the form {@code IP:port}. Host names are rejected, not resolved. */
public final class HostPorts {
    private static final Pattern IP_LITERAL = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]");
    private static final int MAX_PORT = 65_535;

    private HostPorts() {}

    /** Returns the address in {@code text}, or empty if it is not an IP address with a port. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !IP_LITERAL.matcher(text.substring(0, colon)).matches()) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                return Optional.empty();
            }
            InetSocketAddress address = new InetSocketAddress(text.substring(0, colon), port);
            return address.isUnresolved() ? Optional.empty() : Optional.of(address);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
