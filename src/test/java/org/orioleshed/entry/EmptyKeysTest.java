package org.orioleshed.entry;

import static org.testng.Assert.assertEquals;

import com.google.common.hash.Hashing;
import com.sun.net.httpserver.Headers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.fleet.Workspace;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.WorkspaceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a bearer key that is left out, empty or malformed and opens a workspace. */
public class EmptyKeysTest {
    private static String hashOf(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    private static RequestParser parser(List<String> keyHashes) {
        Workspace workspace =
                new Workspace(
                        new WorkspaceId("w"),
                        keyHashes,
                        1,
                        Map.of(Tier.URGENT, 5_000L),
                        Tier.URGENT,
                        10,
                        100,
                        Optional.empty());
        RequestParser parser = new RequestParser(new HostId("h"), 1);
        parser.fleet(
                new FleetSnapshot(
                        1,
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        Map.of(workspace.id(), workspace),
                        Map.of(),
                        Map.of()));
        return parser;
    }

    @DataProvider
    Object[][] keys() {
        List<String> none = List.of();
        List<String> secret = List.of(hashOf("secret"));
        List<String> empty = List.of(hashOf(""));
        return new Object[][] {
            {secret, "Bearer secret", true},
            {secret, "Bearer other", false},
            {secret, "Bearer ", false},
            {secret, "Bearer", false},
            {secret, "secret", false},
            {secret, "", false},
            {secret, null, false},
            {none, "Bearer secret", false},
            {none, "Bearer ", false},
            {none, null, false},
            {empty, "Bearer ", false},
            {empty, "Bearer   ", false},
            {empty, "Bearer", false},
            {empty, "", false},
            {empty, null, false},
        };
    }

    @Test(dataProvider = "keys")
    public void onlyAKeyOpensAWorkspace(List<String> hashes, String authorization, boolean opens) {
        Headers headers = new Headers();
        if (authorization != null) {
            headers.set("Authorization", authorization);
        }
        assertEquals(parser(hashes).workspace(headers).isPresent(), opens);
    }

    @Test
    public void nobodyHasAWorkspaceBeforeAnyIsDeclared() {
        Headers headers = new Headers();
        headers.set("Authorization", "Bearer secret");
        RequestParser parser = new RequestParser(new HostId("h"), 1);
        assertEquals(parser.workspace(headers), Optional.empty());
    }
}
