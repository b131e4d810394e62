package org.orioleshed.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.orioleshed.model.FailureDomain;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link EntrySettings}. */
public class EntrySettingsTest {
    private static final String VALID =
            """
            {"host": {"id": "suva-a-e1", "domain": "suva-a"}, /* comment */
             "addresses": {"caller": "127.0.0.1:8001", "peer": "127.0.0.1:8101"},
             "peers": [{"id": "navua-e1", "domain": "navua", "peerAddress": "127.0.0.1:8102"}],
             "store": {"addresses": ["http://127.0.0.1:2379"]},
             "operators": [{"name": "litia", "keyHash": "%s"}],
             "policy": "naive"}
            """
                    .formatted("0".repeat(64));

    private static EntrySettings.Result.Problems problemsOf(String text) {
        return (EntrySettings.Result.Problems) EntrySettings.parse(text);
    }

    @Test
    public void parsesCommentsAndAppliesDefaults() {
        var loaded = (EntrySettings.Result.Loaded) EntrySettings.parse(VALID);
        EntrySettings settings = loaded.settings();
        assertEquals(settings.domain(), new FailureDomain("suva-a"));
        assertEquals(settings.callerAddress().getPort(), 8001);
        assertEquals(settings.adminAddress(), Optional.empty());
        assertEquals(settings.peers().size(), 1);
        assertEquals(settings.storeAddresses(), List.of(URI.create("http://127.0.0.1:2379")));
        assertEquals(settings.operators().get(0).role(), Operator.Role.READ);
        assertEquals(settings.drainMillis(), 30_000);
        assertEquals(settings.policy(), EntrySettings.Policy.NAIVE);
    }

    @DataProvider
    Object[][] invalidFiles() {
        return new Object[][] {
            {"\"addresses\": {", "\"adresses\": {", List.of("/adresses", "/addresses")},
            {"127.0.0.1:8001", "localhost:8001", List.of("/addresses/caller")},
            {"127.0.0.1:8001", "127.0.0.1:99999", List.of("/addresses/caller")},
            {"http://127.0.0.1:2379", "127.0.0.1:2379", List.of("/store/addresses/0")},
            {"\"http://127.0.0.1:2379\"", "", List.of("/store/addresses/0")},
            {"\"naive\"", "\"naiv\"", List.of("/policy")},
            {"\"id\": \"suva-a-e1\", ", "", List.of("/host/id")},
            {"\"" + "0".repeat(64), "\"00", List.of("/operators/0/keyHash")},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void reportsPathOfEachProblem(String from, String to, List<String> paths) {
        List<Problem> problems = problemsOf(VALID.replace(from, to)).problems();
        assertEquals(problems.stream().map(Problem::path).toList(), paths);
    }

    @Test
    public void suggestsNearestKnownName() {
        List<Problem> problems = problemsOf(VALID.replace("\"naive\"", "\"naiv\"")).problems();
        assertEquals(problems.get(0).nearest(), Optional.of("naive"));
        assertTrue(problems.get(0).toString().contains("did you mean naive?"));
    }

    @Test
    public void reportsMissingFileAsProblem() {
        var result = EntrySettings.load(Path.of("no-such-file.json"));
        assertEquals(((EntrySettings.Result.Problems) result).problems().size(), 1);
    }
}
