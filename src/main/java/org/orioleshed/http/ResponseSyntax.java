package org.orioleshed.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;

/**
 * The message syntax of HTTP/1.1 responses (RFC 9112), as far as the codec tolerates deviations
 * from it. What deviates is no response: nothing that it states may be relied upon.
 */
final class ResponseSyntax {
    private static final int STATUS_DIGITS = 3;

    /** The first digits of the statuses 100 to 599. */
    private static final char MIN_CLASS = '1';

    private static final char MAX_CLASS = '5';
    private static final String VERSION_PREFIX = "HTTP/1.";

    private ResponseSyntax() {}

    /**
     * Checks the words of a status line. A later minor version is allowed (RFC 9110, 2.5); a status
     * outside 100 to 599 is invalid (RFC 9110, 15).
     *
     * @param reason the reason phrase; may be empty
     * @throws MalformedResponseException if a word is malformed
     */
    static void checkStatusLine(String version, String status, String reason) {
        check(isVersion(version), "version");
        check(isStatus(status), "status");
        check(HttpHeaderValidationUtil.validateValidHeaderValue(reason) < 0, "reason phrase");
    }

    private static boolean isVersion(String text) {
        return text.length() == VERSION_PREFIX.length() + 1
                && text.startsWith(VERSION_PREFIX)
                && isDigit(text.charAt(VERSION_PREFIX.length()));
    }

    private static boolean isStatus(String text) {
        return text.length() == STATUS_DIGITS
                && text.charAt(0) >= MIN_CLASS
                && text.charAt(0) <= MAX_CLASS
                && isDigit(text.charAt(1))
                && isDigit(text.charAt(2));
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    /**
     * Checks that a line begins with its first word.
     *
     * @param start the index of the word's first byte
     * @throws MalformedResponseException if white space precedes it
     */
    static void checkLineStart(byte[] line, int start) {
        check(start == 0 || !isWhiteSpace(line[start - 1]), "white space before the line");
    }

    /**
     * Checks that exactly one space separates the status from the version.
     *
     * @param start the index of the status's first byte
     * @throws MalformedResponseException if something else separates them
     */
    static void checkStatusStart(byte[] line, int start) {
        boolean separated = start >= 2 && line[start - 1] == ' ' && !isWhiteSpace(line[start - 2]);
        check(separated, "white space before the status");
    }

    /**
     * Checks that a space separates the reason phrase, which may begin with white space, from the
     * status.
     *
     * @param start the index of the phrase's first byte that is no white space
     * @throws MalformedResponseException if something else separates them
     */
    static void checkReasonStart(byte[] line, int start) {
        int statusEnd = start;
        while (statusEnd > 0 && isWhiteSpace(line[statusEnd - 1])) {
            statusEnd--;
        }
        check(line[statusEnd] == ' ', "no space behind the status");
    }

    /**
     * Checks that a field line begins with the field's name, and that a colon follows at once.
     *
     * @param line begins with the field line; what is behind that is undefined
     * @param start the index of the name's first byte
     * @param length the length of the name, in bytes
     * @throws MalformedResponseException if white space precedes or follows the name, or no colon
     *     follows
     */
    static void checkFieldName(byte[] line, int start, int length) {
        checkLineStart(line, start);
        int end = start + length;
        check(end < line.length && line[end] == ':', "no colon behind a field name");
    }

    private static boolean isWhiteSpace(byte value) {
        return value >= 0 && value <= ' ';
    }

    /**
     * Checks that the body has no transfer coding but "chunked", the only one that the codec
     * decodes.
     *
     * @throws MalformedResponseException if it has another, so that its end and content are unknown
     */
    static void checkFraming(HttpResponse response) {
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunkedOnly =
                codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                codings.getFirst().strip());
        check(codings.isEmpty() || chunkedOnly, "transfer coding");
    }

    private static void check(boolean holds, String part) {
        if (!holds) {
            throw new MalformedResponseException(part);
        }
    }
}
