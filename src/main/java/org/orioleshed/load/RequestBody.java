package org.orioleshed.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SplittableRandom;
import org.orioleshed.standin.StandinText;

/** Writes the bodies of planned requests and the answers that belong to them. */
final class RequestBody {
    private static final int RADIX = 36;

    private RequestBody() {}

    /** Returns the JSON that a caller sends. */
    static String json(PlannedRequest request) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        if (request.traffic().ask() instanceof Traffic.Ask.Text text) {
            body.put("model", request.traffic().route());
            ArrayNode messages = body.putArray("messages");
            messages.addObject().put("role", "system").put("content", prefix(request, text));
            messages.addObject().put("role", "user").put("content", own(request));
            body.put("max_tokens", text.answer().max()).put("stream", true);
        } else {
            body.put("tag", request.tag());
        }
        try {
            return Json.MAPPER.writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a body cannot be written", e);
        }
    }

    /** Returns the text that a stand-in engine generates for the request. */
    static String answer(PlannedRequest request) {
        Traffic.Ask.Text text = (Traffic.Ask.Text) request.traffic().ask();
        String prompt = prefix(request, text) + "\n" + own(request);
        return StandinText.answer(prompt, request.answerTokens());
    }

    private static String prefix(PlannedRequest request, Traffic.Ask.Text text) {
        String owner = request.workspace() + "/" + request.traffic().route();
        return words(owner.hashCode(), text.prefixTokens());
    }

    private static String own(PlannedRequest request) {
        String head =
                String.format(
                        "tag=%s route=%s length=%d",
                        request.tag(), request.traffic().route(), request.answerTokens());
        int left = request.promptTokens() - 3;
        return left <= 0 ? head : head + " " + words(request.tag().hashCode(), left);
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
