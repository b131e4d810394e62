package org.orioleshed.entry;

import static org.testng.Assert.assertNotNull;

import com.sun.net.httpserver.Headers;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Properties of {@link RequestParser}: any input gives a typed result, never an exception. */
class RequestParserProperties {
    private static final String CHAT =
            "{\"model\":\"gangway\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],"
                    + "\"max_tokens\":5,\"stream\":true}";

    private final RequestParser parser = RequestParserTest.parser();

    @Property(seed = "41", tries = 2_000)
    void randomBytesGiveAResult(@ForAll @Size(max = 300) byte[] body) {
        assertNotNull(parser.chat(RequestParserTest.headers(), body, 0));
        assertNotNull(parser.service(RequestParserTest.headers(), "bookings", "lookup", body, 0));
    }

    @Property(seed = "42", tries = 2_000)
    void changedOrTruncatedBytesGiveAResult(
            @ForAll byte value, @ForAll int index, @ForAll int length) {
        byte[] body = CHAT.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        body[Math.floorMod(index, body.length)] = value;
        byte[] truncated = java.util.Arrays.copyOf(body, Math.floorMod(length, body.length + 1));
        assertNotNull(parser.chat(RequestParserTest.headers(), body, 0));
        assertNotNull(parser.chat(RequestParserTest.headers(), truncated, 0));
    }

    @Property(seed = "43", tries = 2_000)
    void anyHeaderValueGivesAResult(
            @ForAll @StringLength(max = 300) @CharRange(from = ' ', to = '~') String value) {
        byte[] body = CHAT.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        Headers headers =
                RequestParserTest.headers(
                        "Idempotency-Key", value, "X-Deadline-Millis", value, "X-Tier", value);
        assertNotNull(parser.chat(headers, body, 0));
    }
}
