package org.orioleshed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.hash.Hashing;
import com.sun.net.httpserver.Headers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Route;
import org.orioleshed.fleet.Target;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.Request;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.Work;
import org.orioleshed.model.WorkspaceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RequestParser}. */
public class RequestParserTest {
    private static final long NOW_NANOS = 1_000_000_000L;
    private static final String CHAT =
            "{\"model\":\"gangway\",\"messages\":[{\"role\":\"user\",\"content\":\"hello there\"}]%s}";

    private final RequestParser parser = parser();

    static RequestParser parser() {
        String hash = Hashing.sha256().hashString("secret", StandardCharsets.UTF_8).toString();
        Workspace workspace =
                new Workspace(
                        new WorkspaceId("stewards"),
                        List.of(hash),
                        1,
                        Map.of(Tier.URGENT, 5_000L, Tier.STANDARD, 20_000L),
                        Tier.STANDARD,
                        10,
                        100,
                        Optional.empty());
        RouteId gangway = new RouteId("gangway");
        RouteId bookings = new RouteId("bookings");
        FleetSnapshot fleet =
                new FleetSnapshot(
                        1,
                        Map.of(),
                        Map.of(),
                        Map.of(
                                gangway,
                                new Route(gangway, new Target.Model(new ModelId("m")), Map.of()),
                                bookings,
                                new Route(
                                        bookings,
                                        new Target.Service(new ServiceId("b")),
                                        Map.of("hold", false, "lookup", true))),
                        Map.of(workspace.id(), workspace),
                        Map.of(),
                        Map.of());
        RequestParser parser = new RequestParser(new HostId("h"), 1);
        parser.fleet(fleet);
        return parser;
    }

    static Headers headers(String... pairs) {
        Headers headers = new Headers();
        headers.set("Authorization", "Bearer secret");
        for (int i = 0; i < pairs.length; i += 2) {
            headers.set(pairs[i], pairs[i + 1]);
        }
        return headers;
    }

    private Admission chat(String body, String... headers) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return parser.chat(headers(headers), bytes, NOW_NANOS);
    }

    private Request admitted(Admission admission) {
        return ((Admission.Admitted) admission).request();
    }

    @DataProvider
    Object[][] badChats() {
        return new Object[][] {
            {"", "bad_json"},
            {"{", "bad_json"},
            {"[]", "bad_json"},
            {"7", "bad_json"},
            {"{}", "bad_model"},
            {"{\"model\":7}", "bad_model"},
            {"{\"model\":\"nope\",\"messages\":[]}", "unknown_route"},
            {"{\"model\":\"bookings\",\"messages\":[]}", "unknown_route"},
            {"{\"model\":\"gangway\"}", "bad_messages"},
            {"{\"model\":\"gangway\",\"messages\":[]}", "bad_messages"},
            {"{\"model\":\"gangway\",\"messages\":[{\"role\":\"user\"}]}", "bad_messages"},
            {CHAT.formatted(",\"max_tokens\":0"), "bad_max_tokens"},
            {CHAT.formatted(",\"max_tokens\":\"x\""), "bad_max_tokens"},
        };
    }

    @Test(dataProvider = "badChats")
    public void invalidBodyIsRejectedWithItsCode(String body, String code) {
        assertEquals(((BadRequest) chat(body)).code(), code);
    }

    @DataProvider
    Object[][] badHeaders() {
        return new Object[][] {
            {"Authorization", "Bearer wrong", "unauthorized"},
            {"Authorization", "secret", "unauthorized"},
            {"X-Tier", "patient", "tier_not_allowed"},
            {"X-Deadline-Millis", "soon", "bad_deadline"},
            {"X-Deadline-Millis", "-1", "bad_deadline"},
            {"Idempotency-Key", " ", "bad_key"},
            {"Idempotency-Key", "k".repeat(201), "bad_key"},
        };
    }

    @Test(dataProvider = "badHeaders")
    public void invalidHeaderIsRejectedWithItsCode(String name, String value, String code) {
        assertEquals(((BadRequest) chat(CHAT.formatted(""), name, value)).code(), code);
    }

    @Test
    public void deadlineAndOutputLengthAreLimitedByTheWorkspace() {
        Request request =
                admitted(
                        chat(
                                CHAT.formatted(",\"max_tokens\":9000"),
                                "X-Tier",
                                "urgent",
                                "X-Deadline-Millis",
                                "99999999"));
        assertEquals(request.deadlineNanos() - NOW_NANOS, 5_000_000_000L);
        assertEquals(((Work.Generate) request.work()).maxOutputTokens(), 100);
        assertEquals(request.tier(), Tier.URGENT);
    }

    @Test
    public void sameContentUnderANewKeyHasTheSameFingerprint() {
        Request first = admitted(chat(CHAT.formatted(""), "Idempotency-Key", "a"));
        Request second = admitted(chat(CHAT.formatted(""), "Idempotency-Key", "b"));
        assertEquals(first.fingerprint(), second.fingerprint());
        assertNotEquals(first.id(), second.id());
        assertNotEquals(first.key(), second.key());
    }

    @DataProvider
    Object[][] badCalls() {
        return new Object[][] {
            {"bookings", "nope", "{}", "k", "unknown_call"},
            {"nope", "hold", "{}", "k", "unknown_route"},
            {"gangway", "hold", "{}", "k", "unknown_route"},
            {"bookings", "hold", "[]", "k", "bad_json"},
            {"bookings", "hold", "{}", null, "key_missing"},
        };
    }

    @Test(dataProvider = "badCalls")
    public void invalidCallIsRejectedWithItsCode(
            String route, String call, String body, String key, String code) {
        Headers headers = key == null ? headers() : headers("Idempotency-Key", key);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Admission admission = parser.service(headers, route, call, bytes, NOW_NANOS);
        assertEquals(((BadRequest) admission).code(), code);
    }

    @Test
    public void repeatableCallNeedsNoKey() {
        byte[] bytes = "{}".getBytes(StandardCharsets.UTF_8);
        Admission admission = parser.service(headers(), "bookings", "lookup", bytes, NOW_NANOS);
        assertTrue(admission instanceof Admission.Admitted);
    }
}
