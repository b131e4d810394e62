package org.orioleshed.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.orioleshed.fleet.BackendServer;
import org.orioleshed.model.RunId;

/** Cancels runs on engines. Blocks; must be called on a virtual thread. */
final class EngineCanceller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int STATUS_OK = 200;

    private final HttpClient client;
    private final BackendLimits limits;

    EngineCanceller(HttpClient client, BackendLimits limits) {
        this.client = client;
        this.limits = limits;
    }

    /** The result of a cancellation. */
    sealed interface Result {
        /** The engine confirmed that the run has ended. */
        record Ended(int prefillTokens) implements Result {}

        /** Nothing listens at the engine's address, so no run is executing there. */
        record Down() implements Result {}

        /** The engine sent no usable response; the run may still be executing. */
        record Unconfirmed() implements Result {}
    }

    /** Cancels {@code run}, retrying while the result is unconfirmed. Cancelling is idempotent. */
    Result cancel(RunId run, BackendServer server) {
        Result result = new Result.Unconfirmed();
        for (int i = 0; i < limits.cancelAttempts(); i++) {
            result = cancelOnce(run, server);
            if (!(result instanceof Result.Unconfirmed)) {
                return result;
            }
        }
        return result;
    }

    private Result cancelOnce(RunId run, BackendServer server) {
        String id = URLEncoder.encode(run.toString(), StandardCharsets.UTF_8);
        HttpRequest request =
                HttpRequest.newBuilder(server.address().resolve("/v1/runs/" + id + "/cancel"))
                        .timeout(Duration.ofMillis(limits.cancelTimeoutMillis()))
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() != STATUS_OK) {
                return new Result.Unconfirmed();
            }
            JsonNode reply = JSON.readTree(response.body());
            return new Result.Ended(reply.path("prefillTokens").asInt());
        } catch (ConnectException e) {
            return new Result.Down();
        } catch (IOException e) {
            return new Result.Unconfirmed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Result.Unconfirmed();
        }
    }
}
