package org.orioleshed.gateway;

import io.netty.buffer.ByteBuf;

/**
 * Finds the beginning of a second response inside the body of one whose framing does not tell them
 * apart: a body that ends with its connection, or a stream of events.
 */
final class SecondHeadScanner {
    /** The beginning of a status line; {@code #} stands for any digit. */
    private static final String STATUS_LINE = "HTTP/1.# ###";

    /** A body that ends after this many bytes of a status line may have been cut inside it. */
    private static final int SUSPECT_BYTES = "HTTP/".length();

    /** How lines of an event begin; all others are lines of a head. */
    private static final String EVENT_LINE_STARTS = "dier:\r\n";

    private final boolean events;
    private int matchedBytes;
    private boolean matchBeganLine;
    private boolean lineStart = true;
    private boolean mayBeHead;

    /**
     * Creates a scanner for one body.
     *
     * @param events whether the body is a stream of events, whose data may contain status lines
     */
    SecondHeadScanner(boolean events) {
        this.events = events;
    }

    /** Returns whether a text contains the beginning of a status line. */
    static boolean hasStatusLine(String text) {
        if (!text.contains("HTTP/")) {
            return false;
        }
        SecondHeadScanner scanner = new SecondHeadScanner(false);
        return text.chars().anyMatch(next -> scanner.isInHead((char) next));
    }

    /** Takes the next bytes without reading them; returns whether a second head was found. */
    boolean scan(ByteBuf bytes) {
        return bytes.forEachByte(next -> !isInHead((char) (next & 0xff))) >= 0;
    }

    /** Returns whether a body that ends here may end inside the first line of a second head. */
    boolean endsInside() {
        return matchedBytes >= SUSPECT_BYTES;
    }

    private boolean isInHead(char next) {
        if (lineStart && mayBeHead) {
            mayBeHead = next != '\r' && next != '\n';
            if (EVENT_LINE_STARTS.indexOf(next) < 0) {
                return true;
            }
        }
        boolean found = match(next) && (!events || matchBeganLine);
        lineStart = next == '\n';
        return found;
    }

    /** Returns whether a byte completes the beginning of a status line. */
    private boolean match(char next) {
        if (!isNext(next)) {
            matchedBytes = 0;
        }
        if (!isNext(next)) {
            return false;
        }
        if (matchedBytes == 0) {
            matchBeganLine = lineStart;
        }
        matchedBytes++;
        if (matchedBytes < STATUS_LINE.length()) {
            return false;
        }
        matchedBytes = 0;
        mayBeHead = true;
        return true;
    }

    private boolean isNext(char next) {
        char wanted = STATUS_LINE.charAt(matchedBytes);
        return wanted == '#' ? next >= '0' && next <= '9' : next == wanted;
    }
}
