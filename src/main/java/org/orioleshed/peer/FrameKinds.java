package org.orioleshed.peer;

import org.orioleshed.wire.PeerWire.Frame;

/** Maps message kinds to frame kinds on the wire. */
final class FrameKinds {
    private FrameKinds() {}

    static Frame.Kind toWire(MessageKind kind) {
        return switch (kind) {
            case ROUTING -> Frame.Kind.ROUTING;
            case REQUEST -> Frame.Kind.REQUEST;
            case MEMBERSHIP -> Frame.Kind.MEMBERSHIP;
            case SETTINGS -> Frame.Kind.SETTINGS;
            case MOVE -> Frame.Kind.MOVE;
            case DISPATCH -> Frame.Kind.DISPATCH;
            case CATALOG -> Frame.Kind.CATALOG;
        };
    }

    /** Returns the message kind, or null for a frame that carries no message. */
    static MessageKind fromWire(Frame.Kind wire) {
        return switch (wire) {
            case ROUTING -> MessageKind.ROUTING;
            case REQUEST -> MessageKind.REQUEST;
            case MEMBERSHIP -> MessageKind.MEMBERSHIP;
            case SETTINGS -> MessageKind.SETTINGS;
            case MOVE -> MessageKind.MOVE;
            case DISPATCH -> MessageKind.DISPATCH;
            case CATALOG -> MessageKind.CATALOG;
            case HELLO, ALIVE, UNKNOWN, UNRECOGNIZED -> null;
        };
    }
}
