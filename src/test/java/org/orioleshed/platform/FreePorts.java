package org.orioleshed.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Chooses ports that tests bind later, on a loopback address of this process's own. Ports of the
 * range from which the system takes those of outgoing connections were taken between the choice and
 * the use, as were those of an address that concurrent test runs share, and listeners failed to
 * bind.
 */
final class FreePorts {
    private static final int FIRST = 15_000;

    /** The system's range begins at 32,768. */
    private static final int COUNT = 17_000;

    private static final AtomicInteger next =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT));

    private static final long PART_VALUES = 256;

    private FreePorts() {}

    /** Returns the loopback address of this process. */
    static InetAddress address() {
        long pid = ProcessHandle.current().pid();
        long second = 1 + pid / PART_VALUES % (PART_VALUES - 2);
        byte[] parts = {127, (byte) second, (byte) (pid % PART_VALUES), 1};
        try {
            return InetAddress.getByAddress(parts);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a free port of this process's address that it did not get before. */
    static InetSocketAddress choose() {
        return choose(address());
    }

    /** Returns a free port of an address that this process did not get before. */
    static InetSocketAddress choose(InetAddress address) {
        return chooseRange(address, 1);
    }

    /** Returns the first of {@code count} free ports that follow each other. */
    static InetSocketAddress chooseRange(InetAddress address, int count) {
        while (true) {
            int port = FIRST + Math.floorMod(next.getAndAdd(count), COUNT);
            if (areFree(address, port, count)) {
                return new InetSocketAddress(address, port);
            }
        }
    }

    private static boolean areFree(InetAddress address, int first, int count) {
        for (int port = first; port < first + count; port++) {
            if (!isFree(address, port)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isFree(InetAddress address, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, address)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
