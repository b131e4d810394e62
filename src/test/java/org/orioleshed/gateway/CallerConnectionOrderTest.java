package org.orioleshed.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.catalog.CallerLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests in which order a caller's connection takes what arrives, and when it takes nothing. */
public class CallerConnectionOrderTest {
    private final List<String> served = new ArrayList<>();
    private final List<String> bodies = new ArrayList<>();
    private final List<ChannelPromise> unwritten = new ArrayList<>();
    private boolean callerReads;
    private EmbeddedChannel channel;
    private CallerConnection connection;

    /** Opens a connection whose requests are all held, until a test refuses them. */
    @BeforeMethod
    public void open() {
        served.clear();
        bodies.clear();
        unwritten.clear();
        callerReads = true;
        channel = new EmbeddedChannel();
        CallerBuffers buffers = new CallerBuffers(List.of(), new MetricRegistry(), line -> {});
        RequestAcceptor acceptor =
                (RequestAcceptor)
                        Proxy.newProxyInstance(
                                RequestAcceptor.class.getClassLoader(),
                                new Class<?>[] {RequestAcceptor.class},
                                (proxy, method, arguments) ->
                                        switch (method.getName()) {
                                            case "hold" -> {
                                                CallerRequest request =
                                                        (CallerRequest) arguments[1];
                                                served.add(
                                                        request.path()
                                                                + " "
                                                                + request.body().size());
                                                bodies.add(request.body().text());
                                                yield Optional.of(
                                                        new StartQueue.PendingStart(
                                                                (CallerConnection) arguments[0],
                                                                request,
                                                                "id"));
                                            }
                                            case "buffers" -> buffers;
                                            case "limits" -> CallerLimits.DEFAULT;
                                            case "limitChangeMillis" -> 2_000L;
                                            case "opened", "isLeaving" -> false;
                                            default -> null;
                                        });
        connection = new CallerConnection(acceptor);
        channel.pipeline()
                .addLast(
                        new ChannelOutboundHandlerAdapter() {
                            @Override
                            public void write(
                                    ChannelHandlerContext context,
                                    Object message,
                                    ChannelPromise promise) {
                                if (callerReads) {
                                    context.write(message, promise);
                                } else {
                                    ReferenceCountUtil.release(message);
                                    unwritten.add(promise);
                                }
                            }
                        },
                        new StrictRequestDecoder(4_096),
                        new HttpResponseEncoder(),
                        connection);
        channel.pipeline().fireChannelActive();
    }

    private void receive(String text) {
        channel.pipeline()
                .fireChannelRead(
                        channel.alloc()
                                .buffer()
                                .writeBytes(text.getBytes(StandardCharsets.US_ASCII)));
        channel.pipeline().fireChannelReadComplete();
    }

    private static String request(String path, int length, String fields) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
                + length
                + "\r\n"
                + fields
                + "\r\n";
    }

    private void answer() {
        connection.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, new DefaultHttpHeaders());
    }

    /** Guards against a pipelined request that overtakes the one before it. */
    @Test
    public void requestThatIsReadJustAfterAnAnswerWaitsBehindThoseReadBefore() {
        receive(request("/1", 0, ""));
        receive(request("/2", 0, ""));
        // The answer and the third request come with the same poll of the event loop.
        answer();
        receive(request("/3", 0, ""));
        channel.runPendingTasks();
        answer();
        channel.runPendingTasks();
        answer();
        channel.runPendingTasks();
        assertEquals(served, List.of("/1 0", "/2 0", "/3 0"));
    }

    /** Guards against a body that is lost since the request before ended as it was read. */
    @Test
    public void restOfARequestThatIsReadJustAfterAnAnswerIsKept() {
        receive(request("/1", 0, ""));
        receive(request("/2", 4, "") + "ab");
        answer();
        receive("cd");
        channel.runPendingTasks();
        assertEquals(served, List.of("/1 0", "/2 4"));
    }

    /** Guards against a request that runs with a part of the body of the next one. */
    @Test
    public void bodiesOfPipelinedRequestsAreNotJoined() {
        receive(request("/1", 0, ""));
        receive(request("/2", 4, "") + "ab");
        answer();
        receive("cd" + request("/3", 4, "") + "xy");
        channel.runPendingTasks();
        receive("zz");
        channel.runPendingTasks();
        assertEquals(bodies, List.of("", "abcd"));
    }

    /** Guards against a request that runs on a connection which ends with the answer before it. */
    @Test
    public void nothingIsServedBehindAnAnswerThatEndsTheConnection() {
        receive(request("/1", 0, "Connection: close\r\n"));
        callerReads = false;
        answer();
        receive(request("/2", 0, ""));
        channel.runPendingTasks();
        assertEquals(served, List.of("/1 0"));
    }

    /**
     * Guards against a connection that is kept forever, since its caller doesn't read a refusal.
     */
    @Test
    public void connectionEndsThoughItsCallerReadsNoRefusal() {
        callerReads = false;
        receive("POST /1");
        long laterNanos = System.nanoTime() + TimeUnit.HOURS.toNanos(1);
        connection.checkIdle(laterNanos);
        connection.checkIdle(laterNanos + TimeUnit.HOURS.toNanos(1));
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
    }
}
