package org.orioleshed.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SplittableRandom;
import org.orioleshed.standin.StandinText;

/** Generates the bodies and the expected answers of planned requests. */
final class RequestBody {
    private static final int RADIX = 36;

    private RequestBody() {}

    /** Returns the JSON body of a request. */
    static String json(PlannedRequest request) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        if (request.traffic().payload() instanceof Traffic.Payload.Text text) {
            body.put("model", request.traffic().route());
            ArrayNode messages = body.putArray("messages");
            messages.addObject().put("role", "system").put("content", systemMessage(request, text));
            messages.addObject().put("role", "user").put("content", userMessage(request));
            body.put("max_tokens", text.answer().max()).put("stream", true);
        } else {
            body.put("tag", request.tag());
        }
        try {
            return Json.MAPPER.writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "cannot serialize the body of request " + request.tag(), e);
        }
    }

    /** Returns the text that a stand-in engine generates for a text request. */
    static String expectedAnswer(PlannedRequest request) {
        Traffic.Payload.Text text = (Traffic.Payload.Text) request.traffic().payload();
        String prompt = systemMessage(request, text) + "\n" + userMessage(request);
        return StandinText.answer(prompt, request.answerTokens());
    }

    private static String systemMessage(PlannedRequest request, Traffic.Payload.Text text) {
        String prefixKey = request.workspace() + "/" + request.traffic().route();
        return words(prefixKey.hashCode(), text.prefixTokens());
    }

    private static String userMessage(PlannedRequest request) {
        String head =
                String.format(
                        "tag=%s route=%s length=%d",
                        request.tag(), request.traffic().route(), request.answerTokens());
        int remainingTokens = request.promptTokens() - 3;
        return remainingTokens <= 0
                ? head
                : head + " " + words(request.tag().hashCode(), remainingTokens);
    }

    private static String words(long seed, int count) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(i == 0 ? "" : " ").append(Integer.toString(random.nextInt(46_656), RADIX));
        }
        return text.toString();
    }
}
