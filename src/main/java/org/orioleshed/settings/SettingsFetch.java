package org.orioleshed.settings;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;

/** A transfer of a newer revision from one peer. */
final class SettingsFetch {
    private final HostId from;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private long number;
    private String changeId = "";
    private long lastReceivedNanos;

    SettingsFetch(HostId from, long nowNanos) {
        this.from = from;
        this.lastReceivedNanos = nowNanos;
    }

    HostId from() {
        return from;
    }

    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /** Returns the number of bytes received, which is the offset of the next chunk. */
    int offset() {
        return bytes.size();
    }

    /**
     * Adds a chunk; returns the complete value after the last one. A chunk of another revision
     * restarts the transfer.
     */
    Optional<Payload> append(SettingsMessage.Chunk chunk, long nowNanos) {
        lastReceivedNanos = nowNanos;
        boolean otherRevision = chunk.number() != number || !chunk.changeId().equals(changeId);
        if (otherRevision) {
            bytes.reset();
            number = chunk.number();
            changeId = chunk.changeId();
        }
        if (chunk.offset() == bytes.size()) {
            bytes.writeBytes(chunk.piece().toBytes());
        }
        boolean complete = bytes.size() > 0 && bytes.size() == chunk.totalBytes();
        return complete ? Optional.of(Payload.of(bytes.toByteArray())) : Optional.empty();
    }
}
