package org.orioleshed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import org.orioleshed.store.MemoryStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a host that has not received the fleet's settings and answers a valid key with a
 * final 401, as if the settings had no keys.
 */
public class NoSettingsTest {
    private InetSocketAddress callerAddress;
    private EntryProcess process;

    @BeforeMethod
    void start() throws IOException {
        callerAddress = LocalHost.freeAddress();
        process = new EntryProcess(LocalHost.settings(callerAddress), new MemoryStore());
        process.start();
    }

    @AfterMethod
    void stop() {
        process.close();
    }

    @DataProvider
    Object[][] calls() {
        return new Object[][] {
            {"POST", "/v1/chat/completions"},
            {"POST", "/v1/services/hold/book"},
            {"GET", "/v1/requests/k"},
        };
    }

    @Test(dataProvider = "calls")
    public void callersAreToldToComeBack(String method, String path) throws Exception {
        HttpRequest call =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + callerAddress.getPort() + path))
                        .header("Authorization", "Bearer secret")
                        .method(method, HttpRequest.BodyPublishers.ofString("{}"))
                        .build();
        HttpResponse<String> response =
                HttpClient.newHttpClient().send(call, BodyHandlers.ofString());
        assertEquals(response.statusCode(), 503, response.body());
        assertTrue(response.body().contains("\"ran\":\"not_run\""), response.body());
        assertTrue(response.headers().firstValue("Retry-After").isPresent());
    }
}
