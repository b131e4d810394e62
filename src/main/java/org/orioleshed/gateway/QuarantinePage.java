package org.orioleshed.gateway;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.orioleshed.quarantine.CrashReport;
import org.orioleshed.quarantine.Suspect;

/**
 * Lists and releases quarantined content for {@code orioleshed-admin}, in the form of the admin
 * API. Only processes on the same host may release.
 */
final class QuarantinePage {
    static final String PATH = "/v1/admin/quarantine";
    private static final String HEAD =
            "{\"columns\":[\"suspect\",\"crashes\",\"ageMillis\",\"leftMillis\",\"times\"],\"rows\":[";
    private static final String RELEASE = PATH + "/release/";

    private final Dispatcher dispatcher;

    QuarantinePage(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    StatusServer.Reply reply(StatusServer.Request request) {
        if (request.path().equals(PATH)) {
            return new StatusServer.Reply(HttpResponseStatus.OK, list(dispatcher.held()));
        }
        if (!request.path().startsWith(RELEASE) || !request.method().equals(HttpMethod.POST)) {
            return error(HttpResponseStatus.NOT_FOUND, "not_found", "no such page");
        }
        if (!request.isLocal()) {
            return error(HttpResponseStatus.FORBIDDEN, "forbidden", "release from the host itself");
        }
        Optional<Suspect> suspect = Suspect.parse(request.path().substring(RELEASE.length()));
        if (suspect.isEmpty()) {
            return error(
                    HttpResponseStatus.BAD_REQUEST,
                    "bad_input",
                    "suspect must be part: or content: and a hexadecimal id");
        }
        dispatcher.release(suspect.get());
        return new StatusServer.Reply(
                HttpResponseStatus.OK, "{\"id\":\"%s\"}".formatted(suspect.get()));
    }

    private static StatusServer.Reply error(
            HttpResponseStatus status, String code, String message) {
        return new StatusServer.Reply(
                status,
                "{\"error\":{\"code\":\"%s\",\"message\":\"%s\"}}".formatted(code, message));
    }

    private static String list(List<CrashReport.Held> held) {
        return held.stream().map(QuarantinePage::row).collect(Collectors.joining(",", HEAD, "]}"));
    }

    private static String row(CrashReport.Held held) {
        return "[\"%s\",%d,%d,%d,%d]"
                .formatted(
                        held.suspect(),
                        held.crashes(),
                        held.ageMillis(),
                        held.leftMillis(),
                        held.times());
    }
}
