package org.orioleshed.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.request.RequestStatus;

/** Serves the status of requests by key: {@code GET /v1/requests/{key}}. */
final class RequestStatusHandler {
    /** The path prefix. */
    static final String PATH = "/v1/requests/";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int MAX_KEY_CHARS = 200;
    private static final long STATUS_TIMEOUT_MILLIS = 2_000;

    private final RequestParser parser;
    private final ActionExecutor actions;

    RequestStatusHandler(RequestParser parser, ActionExecutor actions) {
        this.parser = parser;
        this.actions = actions;
    }

    /** Handles one HTTP exchange. */
    void handle(HttpExchange http) throws IOException {
        if (!http.getRequestMethod().equals("GET")) {
            refuse(http, METHOD_NOT_ALLOWED, "bad_method", "use GET");
            return;
        }
        Optional<Workspace> workspace = parser.workspace(http.getRequestHeaders());
        if (workspace.isEmpty()) {
            refuse(
                    http,
                    UNAUTHORIZED,
                    "unauthorized",
                    "Authorization must carry a known bearer key");
            return;
        }
        Optional<String> key = key(http.getRequestURI().getRawPath().substring(PATH.length()));
        if (key.isEmpty()) {
            refuse(http, BAD_REQUEST, "bad_key", "the key must have 1 to 200 characters");
            return;
        }
        sendStatus(http, new RequestKey(workspace.get().id(), key.get()));
    }

    private static Optional<String> key(String raw) {
        try {
            String key = URLDecoder.decode(raw, StandardCharsets.UTF_8);
            boolean valid = !key.isBlank() && key.length() <= MAX_KEY_CHARS;
            return valid ? Optional.of(key) : Optional.empty();
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private void sendStatus(HttpExchange http, RequestKey key) throws IOException {
        try {
            RequestStatus requestStatus =
                    actions.requestStatus(key).get(STATUS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            CallerReply.send(http, OK, describe(requestStatus).getBytes(StandardCharsets.UTF_8));
        } catch (TimeoutException | ExecutionException e) {
            CallerServer.refuse(http, Outcome.NotRunReason.OVERLOAD);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void refuse(HttpExchange http, int status, String code, String message)
            throws IOException {
        CallerReply.sendError(http, CallerError.of(new BadRequest(status, code, message)));
    }

    private static String describe(RequestStatus requestStatus) {
        ObjectNode root = JSON.createObjectNode();
        switch (requestStatus) {
            case RequestStatus.Unknown unknown -> root.put("fate", "unknown");
            case RequestStatus.Pending pending -> root.put("fate", "pending");
            case RequestStatus.Final ended -> describe(ended.outcome(), root);
        }
        return root.toString();
    }

    private static void describe(Outcome outcome, ObjectNode root) {
        switch (outcome) {
            case Outcome.Answered answered -> {
                root.put("fate", "answered");
                root.put("tokens", answered.tokens());
            }
            case Outcome.Failed failed -> root.put("fate", "failed");
            case Outcome.NotRun notRun -> root.put("fate", "not_run");
            case Outcome.InDoubt inDoubt -> root.put("fate", "in_doubt");
        }
    }
}
