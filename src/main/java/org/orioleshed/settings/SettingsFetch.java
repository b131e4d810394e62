package org.orioleshed.settings;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;

/** One exchange in which a host gets a later revision from a peer. */
final class SettingsFetch {
    private final HostId from;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private long number;
    private String changeId = "";
    private long heardNanos;

    SettingsFetch(HostId from, long nowNanos) {
        this.from = from;
        this.heardNanos = nowNanos;
    }

    HostId from() {
        return from;
    }

    long heardNanos() {
        return heardNanos;
    }

    /** Returns from which byte on the rest is wanted. */
    int offset() {
        return bytes.size();
    }

    /** Takes a piece; returns the whole when this was the last one. */
    Optional<Payload> take(SettingsMessage.Chunk chunk, long nowNanos) {
        heardNanos = nowNanos;
        boolean other = chunk.number() != number || !chunk.changeId().equals(changeId);
        if (other) {
            bytes.reset();
            number = chunk.number();
            changeId = chunk.changeId();
        }
        if (chunk.offset() == bytes.size()) {
            bytes.writeBytes(chunk.piece().toBytes());
        }
        boolean whole = bytes.size() > 0 && bytes.size() == chunk.totalBytes();
        return whole ? Optional.of(Payload.of(bytes.toByteArray())) : Optional.empty();
    }
}
