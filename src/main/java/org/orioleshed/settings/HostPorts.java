package org.orioleshed.settings;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Parses addresses of the form {@code IP:port}, IPv6 addresses in brackets. Host names are
 * rejected, not resolved.
 */
public final class HostPorts {
    private static final int MAX_PORT = 65_535;

    private HostPorts() {}

    /** Returns the address in {@code text}, or empty if it is not an IP address with a port. */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !isIpAddress(text.substring(0, colon))) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > MAX_PORT
                    ? Optional.empty()
                    : Optional.of(new InetSocketAddress(text.substring(0, colon), port));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** An IPv4 address has four parts; shorter forms and larger numbers would be looked up. */
    private static boolean isIpAddress(String text) {
        boolean bracketed = text.startsWith("[") && text.endsWith("]");
        return bracketed
                ? NetUtil.isValidIpV6Address(text.substring(1, text.length() - 1))
                : NetUtil.isValidIpV4Address(text);
    }
}
