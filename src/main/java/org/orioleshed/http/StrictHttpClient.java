package org.orioleshed.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslHandler;
import java.io.IOException;
import java.net.Authenticator;
import java.net.ConnectException;
import java.net.CookieHandler;
import java.net.ProxySelector;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;

/**
 * An HTTP/1.1 client that decodes responses with {@link StrictResponseDecoder}: a response that is
 * not in the message syntax fails its request with an {@link IOException}. Never sends a request
 * twice, follows no redirects, and sends no HEAD requests.
 *
 * <p>Connections are kept for a short time. As with the JDK's client, a request's timeout ends with
 * the head of its response, and {@link ConnectException} and {@link HttpConnectTimeoutException}
 * prove that the request was not sent.
 */
final class StrictHttpClient extends HttpClient {
    private static final int DEFAULT_PORT = 80;
    private static final int DEFAULT_SECURE_PORT = 443;
    private static final long SHUTDOWN_MILLIS = 1_000;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1,
                    Thread.ofPlatform().name("http-client").daemon().factory(),
                    NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Duration connectTimeout;
    private final long keepAliveNanos;
    private final Executor executor;
    private final Bootstrap bootstrap;

    /** The connections that may be used again; used on the event loop only. */
    private final Map<Origin, Deque<HttpConnection>> idleByOrigin = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param connectTimeout how long a connection may take to open
     * @param keepAlive how long an idle connection may be used again
     * @param executor runs the handlers of response bodies, and what depends on responses
     */
    StrictHttpClient(Duration connectTimeout, Duration keepAlive, Executor executor) {
        this.connectTimeout = connectTimeout;
        this.keepAliveNanos = keepAlive.toNanos();
        this.executor = executor;
        this.bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                Math.toIntExact(connectTimeout.toMillis()));
    }

    @Override
    public <T> HttpResponse<T> send(HttpRequest request, HttpResponse.BodyHandler<T> bodyHandler)
            throws IOException, InterruptedException {
        CompletableFuture<HttpResponse<T>> response = sendAsync(request, bodyHandler);
        try {
            return response.get();
        } catch (InterruptedException e) {
            response.cancel(true);
            throw e;
        } catch (CancellationException e) {
            throw new IOException("cancelled", e);
        } catch (ExecutionException e) {
            throw rethrown(e.getCause());
        }
    }

    /** Returns a failure with the caller's stack trace, and with a type that callers tell apart. */
    private static IOException rethrown(Throwable cause) {
        IOException copy =
                switch (cause) {
                    case ConnectException e -> new ConnectException(e.getMessage());
                    case HttpConnectTimeoutException e ->
                            new HttpConnectTimeoutException(e.getMessage());
                    case HttpTimeoutException e -> new HttpTimeoutException(e.getMessage());
                    default -> new IOException(cause.getMessage());
                };
        copy.initCause(cause);
        return copy;
    }

    @Override
    public <T> CompletableFuture<HttpResponse<T>> sendAsync(
            HttpRequest request, HttpResponse.BodyHandler<T> bodyHandler) {
        Origin origin = Origin.of(request.uri());
        HttpCall<T> call = new HttpCall<>(request, bodyHandler, loop, executor);
        try {
            loop.execute(() -> send(call, origin));
        } catch (RejectedExecutionException e) {
            call.fail(new IOException("closed", e));
        }
        return call.response();
    }

    /** Where a request is sent. */
    private record Origin(boolean secure, String host, int port) {
        static Origin of(URI uri) {
            boolean secure = "https".equals(uri.getScheme());
            if (!secure && !"http".equals(uri.getScheme())) {
                throw new IllegalArgumentException("scheme must be http or https: " + uri);
            }
            int defaultPort = secure ? DEFAULT_SECURE_PORT : DEFAULT_PORT;
            return new Origin(
                    secure, uri.getHost(), uri.getPort() < 0 ? defaultPort : uri.getPort());
        }
    }

    /** Sends a request; the handler of pushes is not used, as HTTP/1.1 has none. */
    @Override
    public <T> CompletableFuture<HttpResponse<T>> sendAsync(
            HttpRequest request,
            HttpResponse.BodyHandler<T> bodyHandler,
            HttpResponse.PushPromiseHandler<T> pushPromiseHandler) {
        return sendAsync(request, bodyHandler);
    }

    private void send(HttpCall<?> call, Origin origin) {
        if (call.isDone()) {
            return;
        }
        call.startTimeout();
        HttpConnection idle = takeIdle(origin);
        if (idle != null) {
            idle.send(call);
            return;
        }
        HttpConnection connection = new HttpConnection(it -> release(it, origin));
        ChannelFuture connect =
                bootstrap
                        .clone()
                        .handler(initializer(connection, origin))
                        .connect(origin.host(), origin.port());
        connect.addListener(
                done -> {
                    if (!connect.isSuccess()) {
                        call.fail(connectFailure(connect.cause()));
                    } else if (call.isDone()) {
                        connection.close();
                    } else {
                        connection.send(call);
                    }
                });
    }

    private ChannelInitializer<Channel> initializer(HttpConnection connection, Origin origin) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                if (origin.secure()) {
                    channel.pipeline().addLast(tls(origin));
                }
                connection.addTo(channel.pipeline());
            }
        };
    }

    /** Returns a handler that checks the server's certificate, also for the host's name. */
    private SslHandler tls(Origin origin) {
        SSLEngine engine = sslContext().createSSLEngine(origin.host(), origin.port());
        SSLParameters parameters = engine.getSSLParameters();
        parameters.setEndpointIdentificationAlgorithm("HTTPS");
        engine.setSSLParameters(parameters);
        engine.setUseClientMode(true);
        return new SslHandler(engine);
    }

    private static IOException connectFailure(Throwable cause) {
        String detail = String.valueOf(cause.getMessage());
        IOException failure =
                cause instanceof ConnectTimeoutException
                        ? new HttpConnectTimeoutException(detail)
                        : new ConnectException(detail);
        failure.initCause(cause);
        return failure;
    }

    private HttpConnection takeIdle(Origin origin) {
        Deque<HttpConnection> idle = idleByOrigin.get(origin);
        while (idle != null && !idle.isEmpty()) {
            HttpConnection next = idle.pollLast();
            if (next.isOpen()) {
                return next;
            }
        }
        return null;
    }

    /** Keeps a connection whose response is complete for another request. */
    private void release(HttpConnection connection, Origin origin) {
        Deque<HttpConnection> idle = idleByOrigin.computeIfAbsent(origin, it -> new ArrayDeque<>());
        idle.addLast(connection);
        Runnable expiry =
                () -> {
                    if (connection.isIdleFor(keepAliveNanos)) {
                        idle.remove(connection);
                        connection.close();
                    }
                };
        var unused = loop.schedule(expiry, keepAliveNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void shutdown() {
        shutdownNow();
    }

    /** Closes all connections; requests that have no response fail. */
    @Override
    public void shutdownNow() {
        var unused = group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean isTerminated() {
        return group.isTerminated();
    }

    @Override
    public boolean awaitTermination(Duration duration) throws InterruptedException {
        return group.awaitTermination(duration.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        shutdownNow();
    }

    @Override
    public Optional<CookieHandler> cookieHandler() {
        return Optional.empty();
    }

    @Override
    public Optional<Duration> connectTimeout() {
        return Optional.of(connectTimeout);
    }

    @Override
    public Redirect followRedirects() {
        return Redirect.NEVER;
    }

    @Override
    public Optional<ProxySelector> proxy() {
        return Optional.empty();
    }

    @Override
    public SSLContext sslContext() {
        try {
            return SSLContext.getDefault();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public SSLParameters sslParameters() {
        return new SSLParameters();
    }

    @Override
    public Optional<Authenticator> authenticator() {
        return Optional.empty();
    }

    @Override
    public Version version() {
        return Version.HTTP_1_1;
    }

    @Override
    public Optional<Executor> executor() {
        return Optional.of(executor);
    }
}
