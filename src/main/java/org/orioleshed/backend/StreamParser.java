package org.orioleshed.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.orioleshed.model.Payload;

/** Parses the lines of an engine's event stream. */
final class StreamParser {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";
    private static final ObjectMapper JSON = new ObjectMapper();

    private StreamParser() {}

    /** Returns the event in a line; {@link StreamEvent.Malformed} if invalid. Never throws. */
    static StreamEvent parse(String line) {
        if (!line.startsWith(DATA)) {
            return new StreamEvent.Idle();
        }
        String data = line.substring(DATA.length()).strip();
        if (data.equals(DONE)) {
            return new StreamEvent.Stop();
        }
        try {
            return parseChunk(JSON.readTree(data));
        } catch (JsonProcessingException e) {
            return new StreamEvent.Malformed("stream event is not valid JSON");
        }
    }

    private static StreamEvent parseChunk(JsonNode chunk) {
        if (chunk == null || !chunk.isObject()) {
            return new StreamEvent.Malformed("stream event must be a JSON object");
        }
        if (chunk.has("error")) {
            return new StreamEvent.Failure(
                    chunk.path("error").path("message").asText("engine error"));
        }
        JsonNode content = chunk.path("choices").path(0).path("delta").path("content");
        if (!content.isTextual() || content.textValue().isEmpty()) {
            return new StreamEvent.Idle();
        }
        JsonNode offset = chunk.path("offset");
        JsonNode count = chunk.path("count");
        if (!offset.isInt() || offset.intValue() < 0 || !count.isInt() || count.intValue() < 1) {
            return new StreamEvent.Malformed(
                    "stream event must have an integer offset of at least 0 and count of at least 1");
        }
        return new StreamEvent.Tokens(
                offset.intValue(), count.intValue(), Payload.of(content.textValue()));
    }
}
