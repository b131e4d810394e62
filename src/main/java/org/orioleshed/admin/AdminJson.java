package org.orioleshed.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** Builds the JSON responses of the admin API. */
final class AdminJson {
    static final JsonMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

    private AdminJson() {}

    /** An HTTP status and a JSON body. */
    record Response(int status, ObjectNode body) {}

    static Response of(AdminReply reply) {
        return switch (reply) {
            case AdminReply.Table table -> new Response(200, table(table));
            case AdminReply.Document document -> document(document);
            case AdminReply.Accepted accepted ->
                    new Response(
                            200,
                            MAPPER.createObjectNode()
                                    .put("id", accepted.id())
                                    .put("revision", accepted.revision())
                                    .put("detail", accepted.detail()));
            case AdminReply.Rejected rejected -> rejected(rejected);
            case AdminReply.Conflict conflict -> conflict(conflict);
            case AdminReply.NotFound missing ->
                    error(AdminError.NOT_FOUND, "not found: " + missing.what());
            case AdminReply.StoreUnavailable unavailable ->
                    error(AdminError.STORE_AWAY, unavailable.detail());
            case AdminReply.Unknown unknown -> unknown(unknown);
        };
    }

    static Response error(AdminError error, String message) {
        ObjectNode body = MAPPER.createObjectNode();
        body.putObject("error").put("code", error.code()).put("message", message);
        return new Response(error.status(), body);
    }

    static Response notices(AdminBackend.Notices notices) {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode list = body.putArray("notices");
        for (AdminBackend.Notice notice : notices.notices()) {
            list.addObject()
                    .put("sequence", notice.sequence())
                    .put("move", notice.rollout())
                    .put("kind", notice.kind())
                    .put("epochMillis", notice.epochMillis())
                    .put("detail", notice.detail());
        }
        body.put("last", notices.last());
        return new Response(200, body);
    }

    private static ObjectNode table(AdminReply.Table table) {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode columns = body.putArray("columns");
        table.columns().forEach(columns::add);
        ArrayNode rows = body.putArray("rows");
        for (List<String> row : table.rows()) {
            ArrayNode cells = rows.addArray();
            row.forEach(cells::add);
        }
        return body;
    }

    private static Response document(AdminReply.Document document) {
        try {
            JsonNode value = MAPPER.readTree(document.json());
            ObjectNode body = MAPPER.createObjectNode();
            body.set("value", value);
            body.put("revision", document.revision());
            return new Response(200, body);
        } catch (JsonProcessingException e) {
            return error(
                    AdminError.INTERNAL, "the entry host returned a document that is not JSON");
        }
    }

    private static Response rejected(AdminReply.Rejected rejected) {
        Response response = error(AdminError.REJECTED, "invalid input; nothing has changed");
        ArrayNode problems = response.body().withObject("/error").putArray("problems");
        for (AdminReply.Problem problem : rejected.problems()) {
            ObjectNode node =
                    problems.addObject()
                            .put("path", problem.path())
                            .put("reason", problem.reason());
            problem.nearest().ifPresent(nearest -> node.put("nearest", nearest));
        }
        return response;
    }

    private static Response conflict(AdminReply.Conflict conflict) {
        Response response =
                error(
                        AdminError.CONFLICT,
                        "conflict with a concurrent change; nothing has changed");
        response.body()
                .withObject("/error")
                .put("revision", conflict.revision())
                .put("difference", conflict.difference());
        return response;
    }

    private static Response unknown(AdminReply.Unknown unknown) {
        Response response = error(AdminError.UNKNOWN, unknown.detail());
        response.body().withObject("/error").put("changeId", unknown.changeId());
        return response;
    }
}
