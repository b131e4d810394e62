package org.orioleshed.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Loopback addresses of a fleet's hosts. The network follows from this process's id, so that soaks
 * beside each other share none.
 */
record HostAddresses(List<String> ips) {
    static final int CALLERS_PORT = 8_221;
    static final int READY_PORT = 8_224;
    static final int PEER_PORT = 7_600;
    static final int METRICS_PORT = PEER_PORT + 1;
    private static final int FIRST_HOST = 11;
    private static final int PART = 256;

    static HostAddresses choose(int count) throws IOException {
        long pid = ProcessHandle.current().pid();
        List<String> ips = new ArrayList<>();
        for (int host = 0; host < count; host++) {
            String ip =
                    "127.%d.%d.%d"
                            .formatted(1 + pid / PART % (PART - 2), pid % PART, FIRST_HOST + host);
            checkFree(ip);
            ips.add(ip);
        }
        return new HostAddresses(ips);
    }

    private static void checkFree(String ip) throws IOException {
        for (int port : new int[] {CALLERS_PORT, READY_PORT, PEER_PORT, METRICS_PORT}) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
            }
        }
    }
}
