package org.orioleshed.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.orioleshed.model.HostId;

/** The receive windows of all peers and lanes; they outlive connections. */
final class ReceiveWindows {
    private final Map<Key, ReceiveWindow> windows = new ConcurrentHashMap<>();

    private record Key(HostId host, int lane) {}

    ReceiveWindow of(HostId host, int lane) {
        return windows.computeIfAbsent(new Key(host, lane), key -> new ReceiveWindow());
    }
}
