package org.orioleshed.membership;

import java.util.List;
import org.orioleshed.model.HostId;

/** What entry hosts say to each other to keep their views. */
public sealed interface MembershipMessage {
    /**
     * Are you there?
     *
     * @param sequence the sender's number for the answer
     * @param viewDigest a digest of the sender's view
     * @param rumors news, the sender's own entry first
     */
    record Ping(long sequence, long viewDigest, List<Rumor> rumors) implements MembershipMessage {
        /** Copies the list. */
        public Ping {
            rumors = List.copyOf(rumors);
        }
    }

    /**
     * The answer to a ping, or to a ping asked for.
     *
     * @param sequence the number of the ping
     * @param viewDigest a digest of the sender's view
     * @param rumors news
     */
    record Ack(long sequence, long viewDigest, List<Rumor> rumors) implements MembershipMessage {
        /** Copies the list. */
        public Ack {
            rumors = List.copyOf(rumors);
        }
    }

    /**
     * Ping another host for me, since I can't reach it.
     *
     * @param sequence the sender's number for the answer
     * @param target whom to ping
     */
    record PingWanted(long sequence, HostId target) implements MembershipMessage {}

    /**
     * News handed on at once.
     *
     * @param rumors the news
     */
    record News(List<Rumor> rumors) implements MembershipMessage {
        /** Copies the list. */
        public News {
            rumors = List.copyOf(rumors);
        }
    }

    /**
     * A part of the sender's whole view.
     *
     * @param rumors a part of it
     * @param wantReply whether the sender wants the receiver's view in return
     */
    record View(List<Rumor> rumors, boolean wantReply) implements MembershipMessage {
        /** Copies the list. */
        public View {
            rumors = List.copyOf(rumors);
        }
    }
}
