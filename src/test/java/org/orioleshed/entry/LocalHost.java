package org.orioleshed.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.settings.EntrySettings;

/** The settings of a single entry host on loopback, without peers, operators or a drain time. */
final class LocalHost {
    private LocalHost() {}

    /** Returns the settings of a host whose callers connect to an address. */
    static EntrySettings settings(InetSocketAddress callers) throws IOException {
        return new EntrySettings(
                new HostId("entry-1"),
                new FailureDomain("suva-a"),
                callers,
                freeAddress(),
                Optional.empty(),
                List.of(),
                List.of(URI.create("http://127.0.0.1:1")),
                List.of(),
                0,
                EntrySettings.Policy.ORIOLESHED);
    }

    /** Returns a loopback address with a free port. */
    static InetSocketAddress freeAddress() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
            return new InetSocketAddress(loopback, socket.getLocalPort());
        }
    }
}
