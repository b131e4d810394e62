package org.orioleshed.membership;

import java.util.List;
import org.orioleshed.model.HostId;

/** Messages between entry hosts that keep their membership views in sync. */
public sealed interface MembershipMessage {
    /**
     * A ping that the receiver must acknowledge.
     *
     * @param sequence the sender's sequence number, repeated in the acknowledgement
     * @param viewDigest a digest of the sender's view
     * @param rumors recent changes, the sender's own record first
     */
    record Ping(long sequence, long viewDigest, List<Rumor> rumors) implements MembershipMessage {
        /** Copies the list. */
        public Ping {
            rumors = List.copyOf(rumors);
        }
    }

    /**
     * The acknowledgement of a ping or of a ping request.
     *
     * @param sequence the sequence number of the ping or ping request
     * @param viewDigest a digest of the sender's view
     * @param rumors recent changes
     */
    record Ack(long sequence, long viewDigest, List<Rumor> rumors) implements MembershipMessage {
        /** Copies the list. */
        public Ack {
            rumors = List.copyOf(rumors);
        }
    }

    /**
     * Requests an indirect ping of a host that did not acknowledge the sender's ping.
     *
     * @param sequence the sender's sequence number, repeated in the acknowledgement
     * @param target the host to ping
     */
    record PingRequest(long sequence, HostId target) implements MembershipMessage {}

    /**
     * Changes that are gossiped at once.
     *
     * @param rumors the changes
     */
    record Update(List<Rumor> rumors) implements MembershipMessage {
        /** Copies the list. */
        public Update {
            rumors = List.copyOf(rumors);
        }
    }

    /**
     * A part of the sender's whole view.
     *
     * @param rumors the records in this part
     * @param wantReply whether the receiver must send its own view in return
     */
    record View(List<Rumor> rumors, boolean wantReply) implements MembershipMessage {
        /** Copies the list. */
        public View {
            rumors = List.copyOf(rumors);
        }
    }
}
