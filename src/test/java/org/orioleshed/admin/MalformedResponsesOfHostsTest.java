package org.orioleshed.admin;

import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.util.Map;
import org.orioleshed.http.MalformedResponses;
import org.orioleshed.http.ScriptedServer;
import org.testng.annotations.Test;

/** Tests of {@link AdminClient} with malformed responses, which it must not show. */
public class MalformedResponsesOfHostsTest {
    @Test(
            dataProvider = "malformed",
            dataProviderClass = MalformedResponses.class,
            timeOut = 10_000)
    public void aMalformedResponseIsAnError(String template) throws IOException {
        try (ScriptedServer server = new ScriptedServer();
                AdminClient client = new AdminClient(server.address(), "key")) {
            server.answer(MalformedResponses.fill(template, "", "{}"));
            assertThrows(
                    IOException.class, () -> client.call(AdminClient.Call.get("/hosts", Map.of())));
        }
    }
}
