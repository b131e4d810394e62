package org.orioleshed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.Tier;
import org.orioleshed.model.Work;
import org.orioleshed.model.WorkspaceId;
import org.testng.annotations.Test;

/** Tests of {@link CallerExchange}. */
public class CallerExchangeTest {
    private final MetricRegistry registry = new MetricRegistry();
    private final CallerExchange exchange =
            new CallerExchange(request(), new EntryMetrics(registry));

    @Test
    public void joinsQueuedTokensButNotTheEnd() throws InterruptedException {
        add(0, 1, "a ");
        add(1, 2, "b c ");
        exchange.end(new Outcome.Answered(3, Payload.EMPTY), 5);
        assertEquals(exchange.next(0), new CallerExchange.Piece.Tokens(3, Payload.of("a b c ")));
        assertEquals(
                exchange.next(0),
                new CallerExchange.Piece.End(new Outcome.Answered(3, Payload.EMPTY)));
        assertNull(exchange.next(0));
        assertEquals(registry.counter("requests.answered.urgent").getCount(), 1);
    }

    private void add(int firstToken, int count, String text) {
        HostAction.WriteTokens tokens =
                new HostAction.WriteTokens(
                        exchange.request().id(), firstToken, count, Payload.of(text));
        exchange.add(tokens, 1 + firstToken);
    }

    private static Request request() {
        return new Request(
                new RequestId(new HostId("h"), 1, 1),
                new RequestKey(new WorkspaceId("w"), "k"),
                new RouteId("r"),
                Tier.URGENT,
                10,
                0,
                new Fingerprint(1, 2),
                new Work.Generate(1, 1, List.of()),
                Payload.EMPTY);
    }
}
