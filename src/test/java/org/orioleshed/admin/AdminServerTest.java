package org.orioleshed.admin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.orioleshed.settings.Operator;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the admin API over HTTP and of its command line client. */
public class AdminServerTest {
    private static final String CHANGE_KEY = "change-key";
    private static final String READ_KEY = "read-key";
    private static final long TIMEOUT_SECONDS = 60;
    private static final AdminReply.Table TABLE =
            new AdminReply.Table(
                    List.of("host", "state"),
                    List.of(List.of("suva-a-1", "ALIVE"), List.of("b", "DEAD")));

    private final HttpClient http = HttpClient.newHttpClient();
    private FakeBackend backend;
    private AdminServer server;

    @BeforeMethod
    public void start() throws IOException {
        backend = new FakeBackend();
        List<Operator> operators =
                List.of(
                        new Operator("ana", sha256(CHANGE_KEY), Operator.Role.CHANGE),
                        new Operator("ben", sha256(READ_KEY), Operator.Role.READ));
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = AdminServer.start(any, operators, backend);
    }

    @AfterMethod
    public void stop() {
        server.close();
    }

    private static String sha256(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    private URI address(String path) {
        return URI.create("http://127.0.0.1:" + server.address().getPort() + path);
    }

    private HttpResponse<String> send(String key, String method, String path, String body)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(address(path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private int run(StringBuilder output, String... arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        Map<String, String> environment =
                Map.of(
                        AdminCommand.HOST_VARIABLE,
                        address("").toString(),
                        AdminCommand.KEY_VARIABLE,
                        CHANGE_KEY);
        int code = AdminMain.run(arguments, environment, stream, stream);
        output.append(bytes.toString(StandardCharsets.UTF_8));
        return code;
    }

    @Test
    public void pendingChangeIsAnsweredWhileTheServerCloses() throws Exception {
        backend.pending = new CompletableFuture<>();
        HttpRequest change =
                HttpRequest.newBuilder(address("/v1/admin/moves/m1/take-back"))
                        .header("Authorization", "Bearer " + CHANGE_KEY)
                        .POST(HttpRequest.BodyPublishers.ofString("{\"reason\":\"r\"}"))
                        .build();
        CompletableFuture<HttpResponse<String>> answer =
                http.sendAsync(change, HttpResponse.BodyHandlers.ofString());
        assertTrue(backend.called.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        Thread closer = Thread.ofPlatform().start(server::close);
        while (closer.getState() != Thread.State.TIMED_WAITING && closer.isAlive()) {
            Thread.onSpinWait();
        }
        backend.pending.complete(new AdminReply.Accepted("c1", 7, "fine"));
        assertEquals(answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode(), 200);
    }

    @DataProvider
    Object[][] calls() {
        String settings = "/v1/admin/settings";
        String tooLong = "x".repeat(1_001);
        String tooLarge = "\"" + "x".repeat(AdminServer.MAX_BODY_BYTES) + "\"";
        return new Object[][] {
            {"", "GET", "/v1/admin/hosts", "", 401},
            {"wrong", "GET", "/v1/admin/hosts", "", 401},
            {READ_KEY, "GET", "/v1/admin/hosts", "", 200},
            {READ_KEY, "PUT", settings, "{}", 403},
            {READ_KEY, "POST", "/v1/admin/moves/m1/take-back", "{\"reason\":\"r\"}", 403},
            {READ_KEY, "POST", "/v1/admin/poison/clear", "{}", 403},
            {CHANGE_KEY, "GET", "/elsewhere", "", 404},
            {CHANGE_KEY, "GET", "/v1/admin/", "", 404},
            {CHANGE_KEY, "GET", "/v1/admin/nothing", "", 404},
            {CHANGE_KEY, "GET", "/v1/admin/settings/a/b", "", 404},
            {CHANGE_KEY, "POST", "/v1/admin/hosts", "{}", 405},
            {CHANGE_KEY, "PATCH", settings, "{}", 405},
            {CHANGE_KEY, "PUT", settings, "not json", 400},
            {CHANGE_KEY, "PUT", settings, "[]", 400},
            {CHANGE_KEY, "PUT", settings, "{\"path\":\"a\",\"reason\":\"r\"}", 400},
            {CHANGE_KEY, "PUT", settings, "{\"path\":\"a\",\"value\":1}", 400},
            {CHANGE_KEY, "PUT", settings, "{\"path\":7,\"value\":1,\"reason\":\"r\"}", 400},
            {CHANGE_KEY, "PUT", settings, "{\"value\":1,\"reason\":\"" + tooLong + "\"}", 400},
            {CHANGE_KEY, "PUT", settings, "{\"value\":1,\"reason\":\"r\",\"trial\":1}", 400},
            {CHANGE_KEY, "PUT", settings, tooLarge, 413},
            {CHANGE_KEY, "GET", "/v1/admin/settings/history?limit=-1", "", 400},
            {CHANGE_KEY, "GET", "/v1/admin/settings/history?limit=x", "", 400},
            {CHANGE_KEY, "GET", "/v1/admin/settings?path=%25zz", "", 200},
            {CHANGE_KEY, "POST", "/v1/admin/moves", "{\"target\":\"letters\"}", 400},
            {CHANGE_KEY, "POST", "/v1/admin/poison/clear", "{\"fingerprint\":\"zz\"}", 400},
        };
    }

    @Test(dataProvider = "calls")
    public void callsAreValidatedBeforeTheBackend(
            String key, String method, String path, String body, int status) throws Exception {
        HttpResponse<String> response = send(key, method, path, body);
        assertEquals(response.statusCode(), status, response.body());
        JsonNode json = AdminJson.MAPPER.readTree(response.body());
        assertEquals(json.has("error"), status != 200, response.body());
        assertEquals(backend.calls.isEmpty(), status != 200);
    }

    @DataProvider
    Object[][] replies() {
        AdminReply.Problem problem =
                new AdminReply.Problem("servers.x", "unknown name", Optional.of("servers.y"));
        return new Object[][] {
            {new AdminReply.Accepted("c", 1, ""), 200, 0, "done"},
            {TABLE, 200, 0, "suva-a-1  ALIVE\nb         DEAD\n"},
            {new AdminReply.Document("{\"a\":1}", 3), 200, 0, "\"a\" : 1"},
            {new AdminReply.Rejected(List.of(problem)), 422, 3, "did you mean servers.y?"},
            {new AdminReply.Conflict(9, "- a\n+ b"), 409, 4, "+ b"},
            {new AdminReply.NotFound("move m9"), 404, 5, "move m9"},
            {new AdminReply.StoreUnavailable("away"), 503, 7, "away"},
            {new AdminReply.Unknown("c", "lost"), 504, 8, "lost"},
        };
    }

    @Test(dataProvider = "replies")
    public void eachReplyHasItsStatusAndExitCode(
            AdminReply reply, int status, int exitCode, String text) throws Exception {
        backend.reply = reply;
        assertEquals(send(READ_KEY, "GET", "/v1/admin/moves", "").statusCode(), status);
        StringBuilder output = new StringBuilder();
        assertEquals(run(output, "moves", "list"), exitCode);
        assertTrue(output.toString().contains(text), output.toString());
    }

    @Test
    public void backendFailureIsReportedWithoutDetails() throws Exception {
        backend.failure = new IllegalStateException("secret");
        HttpResponse<String> response = send(READ_KEY, "GET", "/v1/admin/hosts", "");
        assertEquals(response.statusCode(), 500);
        assertFalse(response.body().contains("secret"));
    }

    @Test
    public void planIsPassedToTheBackendWithTheOperatorAsAuthor() {
        StringBuilder output = new StringBuilder();
        int code =
                run(
                        output,
                        "moves",
                        "plan",
                        "--target",
                        "model:letters",
                        "--from",
                        "v1",
                        "--to",
                        "v2",
                        "--route",
                        "gangway",
                        "--complete-by",
                        "2026-01-31T20:00:00Z",
                        "--reason",
                        "new weights");
        assertEquals(code, 0, output.toString());
        AdminBackend.RolloutPlan plan = (AdminBackend.RolloutPlan) backend.calls.get(0);
        assertEquals(plan.author(), "ana");
        assertEquals(plan.routes(), List.of("gangway"));
        assertEquals(plan.completeByMillis(), 1_769_889_600_000L);
    }

    @Test
    public void settingsChangeIsPassedToTheBackend() {
        StringBuilder output = new StringBuilder();
        int code =
                run(output, "settings", "set", "limits.x", "{/* two */\"a\":2}", "--reason", "r");
        assertEquals(code, 0, output.toString());
        AdminBackend.SettingsChange change = (AdminBackend.SettingsChange) backend.calls.get(0);
        assertEquals(change.valueJson(), "{\"a\":2}");
        assertEquals(change.path(), "limits.x");
        assertEquals(change.author(), "ana");
    }

    @DataProvider
    Object[][] invalidArguments() {
        return new Object[][] {
            {new String[] {"moves", "plan"}},
            {new String[] {"nonsense"}},
            {new String[] {"settings", "set", "a", "not json", "--reason", "r"}},
            {new String[] {"settings", "set", "a", "--reason", "r"}},
            {new String[] {"settings", "check", "/no/such/file"}},
            {new String[] {"hosts", "--host", "ftp://x"}},
        };
    }

    @Test(dataProvider = "invalidArguments")
    public void invalidArgumentsExitWithUsage(String[] arguments) {
        StringBuilder output = new StringBuilder();
        assertEquals(run(output, arguments), ExitCode.USAGE.code());
        assertTrue(output.toString().startsWith("error: "), output.toString());
        assertEquals(backend.calls, List.of());
    }

    @Test
    public void watchPrintsNotices() {
        AdminBackend.Notice notice = new AdminBackend.Notice(4, "m1", "COMPLETED", 17, "proven");
        backend.notices = new AdminBackend.Notices(List.of(notice), 4);
        StringBuilder output = new StringBuilder();
        assertEquals(run(output, "moves", "watch", "--once"), 0);
        assertEquals(output.toString(), "17  m1  COMPLETED  proven\n");
    }

    @Test
    public void jsonOptionPrintsTheResponseUnchanged() {
        backend.reply = TABLE;
        StringBuilder output = new StringBuilder();
        assertEquals(run(output, "hosts", "--json"), 0);
        assertTrue(output.toString().startsWith("{\"columns\":[\"host\",\"state\"]"));
    }

    @Test
    public void unreachableHostExitsWithFailure() {
        StringBuilder output = new StringBuilder();
        assertEquals(run(output, "hosts", "--host", "http://127.0.0.1:1"), 1);
    }
}
