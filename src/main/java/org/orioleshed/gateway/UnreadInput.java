package org.orioleshed.gateway;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** What a channel has received and its event loop has not read yet. */
final class UnreadInput {
    private UnreadInput() {}

    /**
     * Reads as much as one poll of the event loop would; a listener accepts connections. Call on
     * the channel's event loop, and not while the channel is being read.
     */
    static void read(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
    }
}
