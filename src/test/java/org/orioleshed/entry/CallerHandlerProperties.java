package org.orioleshed.entry;

import static org.testng.Assert.assertNotNull;

import com.sun.net.httpserver.Headers;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Properties of {@link CallerHandler}: whatever callers send, it answers with a typed result. */
class CallerHandlerProperties {
    private static final String CHAT =
            "{\"model\":\"gangway\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],"
                    + "\"max_tokens\":5,\"stream\":true}";

    private final CallerHandler handler = CallerHandlerTest.handler();

    @Property(seed = "41", tries = 2_000)
    void randomBytesAreAnswered(@ForAll @Size(max = 300) byte[] body) {
        assertNotNull(handler.chat(CallerHandlerTest.headers(), body, 0));
        assertNotNull(handler.service(CallerHandlerTest.headers(), "bookings", "lookup", body, 0));
    }

    @Property(seed = "42", tries = 2_000)
    void changedBytesAreAnswered(@ForAll byte value, @ForAll int at, @ForAll int length) {
        byte[] body = CHAT.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        body[Math.floorMod(at, body.length)] = value;
        byte[] cut = java.util.Arrays.copyOf(body, Math.floorMod(length, body.length + 1));
        assertNotNull(handler.chat(CallerHandlerTest.headers(), body, 0));
        assertNotNull(handler.chat(CallerHandlerTest.headers(), cut, 0));
    }

    @Property(seed = "43", tries = 2_000)
    void anyHeaderIsAnswered(
            @ForAll @StringLength(max = 300) @CharRange(from = ' ', to = '~') String value) {
        byte[] body = CHAT.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        Headers headers =
                CallerHandlerTest.headers(
                        "Idempotency-Key", value, "X-Deadline-Millis", value, "X-Tier", value);
        assertNotNull(handler.chat(headers, body, 0));
    }
}
