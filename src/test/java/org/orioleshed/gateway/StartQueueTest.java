package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.orioleshed.catalog.AccessRule;
import org.orioleshed.catalog.CallRoute;
import org.orioleshed.catalog.CallerLimits;
import org.orioleshed.catalog.Catalog;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.EntryView;
import org.orioleshed.catalog.Repeatability;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.store.StoreRevision;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests that a host holds back while it is late, through callers' connections. */
public class StartQueueTest {
    private static final String REQUEST =
            "GET /a/x HTTP/1.1\r\nHost: h:80\r\nContent-Length: 0\r\n\r\n";

    private final MetricRegistry metrics = new MetricRegistry();
    private EmbeddedChannel channel;
    private boolean exchangeCreated;
    private long deadlineMillis;

    private static <T> T fake(Class<T> type, InvocationHandler handler) {
        return type.cast(
                Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }

    private static CatalogSnapshot snapshot() {
        CallRoute route =
                new CallRoute(
                        new RouteId("r"),
                        "h",
                        "/a/",
                        Repeatability.ONCE,
                        false,
                        4_000,
                        600,
                        0,
                        1,
                        0,
                        true,
                        List.of(new CallRoute.Share(new ServiceId("pool"), 1)));
        Catalog catalog =
                new Catalog(
                        1,
                        Catalog.byHost(List.of(route)),
                        Map.of(),
                        new AccessRule.Everybody(),
                        CallerLimits.DEFAULT);
        StoreRevision revision = StoreRevision.of(1);
        return new CatalogSnapshot(
                revision,
                Optional.of(catalog),
                EntryView.EMPTY,
                new EntryView(revision, revision, true, List.of(), StoreRevision.NONE, List.of()),
                List.of(),
                List.of(),
                Set.of());
    }

    private Object translate(String method, Object[] arguments) {
        if (method.equals("readBriefly")) {
            return new HeaderTranslator.BriefHeaders("id", Optional.empty(), deadlineMillis);
        }
        ((HttpHeaders) arguments[0]).set("Retry-After", arguments[2]);
        return null;
    }

    /** Opens a connection to a host that has not polled for a second. */
    @BeforeMethod
    public void open() {
        channel = new EmbeddedChannel();
        exchangeCreated = false;
        HeaderTranslator translator =
                fake(
                        HeaderTranslator.class,
                        (proxy, method, arguments) -> translate(method.getName(), arguments));
        GatewayContext context =
                fake(
                        GatewayContext.class,
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "snapshot" -> snapshot();
                                    case "translator" -> translator;
                                    case "random" -> new SplittableRandom(1);
                                    default -> null;
                                });
        CallerBuffers buffers = new CallerBuffers(List.of(), new MetricRegistry(), line -> {});
        StartQueue queue =
                new StartQueue(
                        channel.eventLoop(),
                        new LoopLag(System.nanoTime() - 1_000_000_000),
                        context,
                        () -> 1,
                        metrics);
        RequestAcceptor acceptor =
                fake(
                        RequestAcceptor.class,
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "hold" ->
                                            queue.hold(
                                                    (CallerConnection) arguments[0],
                                                    (CallerRequest) arguments[1]);
                                    case "withdraw" -> {
                                        queue.withdraw((StartQueue.PendingStart) arguments[0]);
                                        yield null;
                                    }
                                    case "refuse" -> {
                                        queue.refuse((StartQueue.PendingStart) arguments[0]);
                                        yield null;
                                    }
                                    case "buffers" -> buffers;
                                    case "limits" -> CallerLimits.DEFAULT;
                                    case "limitChangeMillis" -> 2_000L;
                                    case "opened", "isLeaving" -> false;
                                    case "exchange" -> {
                                        exchangeCreated = true;
                                        throw new IllegalStateException("served");
                                    }
                                    default -> null;
                                });
        channel.pipeline()
                .addLast(
                        new StrictRequestDecoder(4_096),
                        new HttpResponseEncoder(),
                        new CallerConnection(acceptor));
        channel.pipeline().fireChannelActive();
    }

    private void send() {
        channel.pipeline()
                .fireChannelRead(
                        channel.alloc()
                                .buffer()
                                .writeBytes(REQUEST.getBytes(StandardCharsets.US_ASCII)));
    }

    /** Guards against a refusal that costs the work of an exchange. */
    @Test
    public void requestsWhoseTimeIsOverAreRefusedWithoutAnExchange() {
        deadlineMillis = 0;
        send();
        channel.runPendingTasks();
        ByteBuf response = channel.readOutbound();
        String text = response.toString(StandardCharsets.US_ASCII);
        response.release();
        assertTrue(text.startsWith("HTTP/1.1 503 "), text);
        assertTrue(text.contains("Retry-After: 0"), text);
        assertFalse(exchangeCreated);
        assertEquals(metrics.counter("requests_shed").getCount(), 1);
    }

    /** Guards against a request that waits, and ends with its host's process unanswered. */
    @Test
    public void waitingRequestIsRefusedWhenTheServiceEnds() {
        deadlineMillis = 4_000;
        send();
        channel.pipeline().get(CallerConnection.class).endOfService(System.nanoTime());
        ByteBuf response = channel.readOutbound();
        String text = response.toString(StandardCharsets.US_ASCII);
        response.release();
        assertTrue(text.startsWith("HTTP/1.1 503 "), text);
        assertTrue(text.contains("Retry-After: 0"), text);
        channel.runPendingTasks();
        assertFalse(exchangeCreated);
    }

    /** Guards against requests that wait forever behind one whose start fails. */
    @Test
    public void aFaultEndsOnlyTheConnectionOfItsRequest() {
        deadlineMillis = 4_000;
        send();
        channel.runPendingTasks();
        assertTrue(exchangeCreated);
        assertFalse(channel.isOpen());
    }

    /** Guards against work for a caller that disconnected while its request waited. */
    @Test
    public void callerThatDisconnectsWhileItsRequestWaitsIsForgotten() {
        deadlineMillis = 4_000;
        send();
        channel.pipeline().fireChannelInactive();
        channel.runPendingTasks();
        assertFalse(exchangeCreated);
        assertNull(channel.readOutbound());
    }
}
