package org.orioleshed.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.orioleshed.fleet.TestServers;
import org.orioleshed.http.HttpClients;
import org.orioleshed.http.MalformedResponses;
import org.orioleshed.http.ScriptedServer;
import org.orioleshed.rollout.ServerOrder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link HttpServerOrders} with malformed responses, which confirm nothing. */
public class MalformedResponsesToOrdersTest {
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private ScriptedServer server;
    private HttpClient client;
    private HttpServerOrders orders;

    @BeforeMethod
    public void open() throws IOException {
        server = new ScriptedServer();
        client = HttpClients.create(Duration.ofSeconds(2), threads);
        orders = new HttpServerOrders(client);
    }

    @AfterMethod
    public void close() throws IOException {
        client.shutdownNow();
        server.close();
    }

    /** Guards against an order, and a version, that a server did not confirm. */
    @Test(
            dataProvider = "malformed",
            dataProviderClass = MalformedResponses.class,
            timeOut = 10_000)
    public void aMalformedResponseConfirmsNothing(String template) {
        server.answer(MalformedResponses.fill(template, "", "{\"version\":\"v2\"}"));
        ServerOrder order = new ServerOrder.ChangeRole("role");
        assertFalse(orders.order(TestServers.at(server.address()), order, 1).join(), template);
        assertEquals(
                orders.version(TestServers.at(server.address())).join(),
                Optional.empty(),
                template);
    }
}
