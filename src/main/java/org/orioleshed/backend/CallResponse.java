package org.orioleshed.backend;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpResponse;

/** Decides whether the response of a plain service is whole. */
final class CallResponse {
    private static final int SUCCESS_CLASS = 2;
    private static final int NO_CONTENT = 204;
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private CallResponse() {}

    /**
     * Returns whether a response is whole. One with neither a length nor chunks ends with its
     * connection, which may have been cut off; it is whole if its body is a JSON object or array,
     * which state their own end. Of a failure only the status is used, which was received.
     */
    static boolean isWhole(HttpResponse<byte[]> response) {
        return response.statusCode() / 100 != SUCCESS_CLASS
                || response.statusCode() == NO_CONTENT
                || response.headers().firstValue("content-length").isPresent()
                || response.headers().firstValue("transfer-encoding").isPresent()
                || isJsonContainer(response.body());
    }

    private static boolean isJsonContainer(byte[] body) {
        try {
            JsonNode value = JSON.readTree(body);
            return value.asToken() == JsonToken.START_OBJECT
                    || value.asToken() == JsonToken.START_ARRAY;
        } catch (IOException e) {
            return false;
        }
    }
}
