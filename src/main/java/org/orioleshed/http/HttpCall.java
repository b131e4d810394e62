package org.orioleshed.http;

import com.google.common.util.concurrent.MoreExecutors;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLSession;

/**
 * One request and the reading of its response. Its methods are called on the event loop; the
 * handler of the body runs on the client's executor, one task after the other.
 *
 * @param <T> what the handler makes of the body
 */
final class HttpCall<T> {
    private final HttpRequest request;
    private final HttpResponse.BodyHandler<T> bodyHandler;
    private final EventLoop loop;
    private final Executor handlers;
    private final CompletableFuture<HttpResponse<T>> response = new CompletableFuture<>();
    private final Deque<ByteBuffer> undelivered = new ArrayDeque<>();
    private HttpConnection connection;
    private ScheduledFuture<?> timeout;
    private long demand;
    private boolean headReceived;
    private boolean ended;
    private boolean endDelivered;
    private IOException failure;

    /** Reads the body; used by {@link #handlers} only. */
    private HttpResponse.BodySubscriber<T> subscriber;

    HttpCall(
            HttpRequest request,
            HttpResponse.BodyHandler<T> bodyHandler,
            EventLoop loop,
            Executor executor) {
        this.request = request;
        this.bodyHandler = bodyHandler;
        this.loop = loop;
        this.handlers = MoreExecutors.newSequentialExecutor(executor);
        response.whenComplete(
                (done, error) -> {
                    if (response.isCancelled()) {
                        onLoop(this::closeConnection);
                    }
                });
    }

    /** Returns the future of the response, which completes on the client's executor. */
    CompletableFuture<HttpResponse<T>> response() {
        return response;
    }

    /** Returns whether the call was cancelled or has failed, so that it must not be sent. */
    boolean isDone() {
        return ended || response.isDone();
    }

    /** Starts the time that the request has until the head of its response. */
    void startTimeout() {
        Optional<Duration> limit = request.timeout();
        if (limit.isPresent()) {
            timeout = loop.schedule(this::timeOut, limit.get().toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void timeOut() {
        fail(
                connection == null
                        ? new HttpConnectTimeoutException("not connected before the timeout")
                        : new HttpTimeoutException("no response before the timeout"));
        closeConnection();
    }

    /** Closes the connection, unless it carries another call by now. */
    private void closeConnection() {
        if (connection != null) {
            connection.cancel(this);
        }
    }

    /** Called when the request is about to be written to a connection. */
    void sentOn(HttpConnection newConnection) {
        connection = newConnection;
    }

    /** Returns the request as it is sent. */
    FullHttpRequest encodedRequest() {
        URI uri = request.uri();
        String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        String target = uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
        HttpMethod method = HttpMethod.valueOf(request.method());
        byte[] body = request.bodyPublisher().map(RequestBody::read).orElse(new byte[0]);
        DefaultFullHttpRequest encoded =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
        encoded.headers().set(HttpHeaderNames.HOST, uri.getRawAuthority());
        request.headers().map().forEach((name, values) -> encoded.headers().set(name, values));
        if (body.length > 0 || !method.equals(HttpMethod.GET)) {
            encoded.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return encoded;
    }

    /** Takes the head of the response. */
    void receiveHead(io.netty.handler.codec.http.HttpResponse head) {
        headReceived = true;
        stopTimeout();
        Head info = Head.of(head);
        handle(
                () -> {
                    subscriber = bodyHandler.apply(info);
                    subscriber.getBody().whenComplete((body, error) -> complete(info, body, error));
                    subscriber.onSubscribe(new Subscription());
                });
    }

    private void complete(Head head, T body, Throwable error) {
        if (error != null) {
            response.completeExceptionally(error);
        } else {
            response.complete(new Response<>(request, head, body));
        }
    }

    /** Takes a part of the body. */
    void receiveContent(ByteBuf bytes) {
        if (bytes.isReadable()) {
            ByteBuffer copy = ByteBuffer.allocate(bytes.readableBytes());
            bytes.readBytes(copy);
            undelivered.addLast(copy.flip());
            deliver();
        }
    }

    /** Called when the response is complete. */
    void receiveEnd() {
        ended = true;
        deliver();
    }

    /** Called when no response, or only a part of one, was received. */
    void fail(IOException error) {
        stopTimeout();
        ended = true;
        failure = error;
        if (headReceived) {
            deliver();
        } else {
            handle(() -> response.completeExceptionally(error));
        }
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    /** Returns whether the connection is to be read. */
    boolean demandsMore() {
        return !headReceived || (demand > 0 && undelivered.isEmpty());
    }

    /** Hands over the parts that are demanded, and then the end. */
    private void deliver() {
        while (demand > 0 && !undelivered.isEmpty()) {
            demand--;
            ByteBuffer next = undelivered.pollFirst();
            handle(() -> subscriber.onNext(List.of(next)));
        }
        if (!ended || endDelivered || !undelivered.isEmpty()) {
            return;
        }
        endDelivered = true;
        IOException error = failure;
        handle(
                () -> {
                    if (error == null) {
                        subscriber.onComplete();
                    } else {
                        subscriber.onError(error);
                    }
                });
    }

    /** Runs a task that may call the handler of the body. */
    private void handle(Runnable task) {
        try {
            handlers.execute(() -> runHandler(task));
        } catch (RejectedExecutionException e) {
            abort(e);
        }
    }

    private void runHandler(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            abort(e);
        }
    }

    private void abort(RuntimeException cause) {
        response.completeExceptionally(new IOException("handler failed", cause));
        onLoop(this::closeConnection);
    }

    private void onLoop(Runnable task) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            // The client is closed, and its connections with it.
            return;
        }
    }

    /** Demands parts of the body for its handler. */
    private final class Subscription implements Flow.Subscription {
        @Override
        public void request(long count) {
            onLoop(() -> add(count));
        }

        private void add(long count) {
            boolean wasSatisfied = demand == 0;
            demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
            deliver();
            if (wasSatisfied && !ended && demandsMore()) {
                connection.read();
            }
        }

        @Override
        public void cancel() {
            onLoop(
                    () -> {
                        if (!ended) {
                            closeConnection();
                        }
                    });
        }
    }

    /** The head of a response. */
    private record Head(int statusCode, HttpHeaders headers) implements HttpResponse.ResponseInfo {
        static Head of(io.netty.handler.codec.http.HttpResponse response) {
            Map<String, List<String>> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String name : response.headers().names()) {
                fields.put(name, response.headers().getAll(name));
            }
            return new Head(
                    response.status().code(), HttpHeaders.of(fields, (name, value) -> true));
        }

        @Override
        public HttpClient.Version version() {
            return HttpClient.Version.HTTP_1_1;
        }
    }

    /** A response whose body was handled. */
    private record Response<T>(HttpRequest request, Head head, T body) implements HttpResponse<T> {
        @Override
        public int statusCode() {
            return head.statusCode();
        }

        @Override
        public Optional<HttpResponse<T>> previousResponse() {
            return Optional.empty();
        }

        @Override
        public HttpHeaders headers() {
            return head.headers();
        }

        @Override
        public Optional<SSLSession> sslSession() {
            return Optional.empty();
        }

        @Override
        public URI uri() {
            return request.uri();
        }

        @Override
        public HttpClient.Version version() {
            return head.version();
        }
    }
}
