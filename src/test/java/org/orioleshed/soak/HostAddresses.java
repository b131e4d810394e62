package org.orioleshed.soak;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Loopback addresses of hosts. The network follows from this process's id, so that soaks beside
 * each other share none.
 */
final class HostAddresses {
    static final int CALLERS_PORT = 8_221;
    static final int READY_PORT = 8_224;
    static final int PEER_PORT = 7_600;
    private static final int FIRST_HOST = 11;
    private static final long PART = 256;

    private HostAddresses() {}

    static List<String> choose(int count) {
        long pid = ProcessHandle.current().pid();
        String network = "127.%d.%d.".formatted(1 + pid / PART % (PART - 2), pid % PART);
        return IntStream.range(FIRST_HOST, FIRST_HOST + count)
                .mapToObj(it -> network + it)
                .toList();
    }
}
