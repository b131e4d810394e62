package org.orioleshed.soak;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Loopback addresses of hosts. The network is derived from the id of this process, so that
 * concurrent soaks don't share addresses.
 */
final class HostAddresses {
    static final int CALLERS_PORT = 8_221;
    static final int READY_PORT = 8_224;
    static final int PEER_PORT = 7_600;
    private static final int FIRST_HOST_PART = 11;
    private static final long PART_VALUES = 256;

    private HostAddresses() {}

    static List<String> choose(int count) {
        long pid = ProcessHandle.current().pid();
        String network =
                "127.%d.%d."
                        .formatted(1 + pid / PART_VALUES % (PART_VALUES - 2), pid % PART_VALUES);
        return IntStream.range(FIRST_HOST_PART, FIRST_HOST_PART + count)
                .mapToObj(it -> network + it)
                .toList();
    }
}
