package org.orioleshed.backend;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.ExecutorService;

/** Creates JDK HTTP clients that never resend a request. */
public final class HttpClients {
    private static final String KEEP_ALIVE_SECONDS = "2";

    private HttpClients() {}

    /**
     * Sets system properties that disable resends. Must be called before the first client is
     * created, as the JDK's client reads them once, when its classes load.
     */
    public static void forbidResends() {
        System.setProperty("jdk.httpclient.disableRetryConnect", "true");
        System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
        System.setProperty("jdk.httpclient.keepalive.timeout", KEEP_ALIVE_SECONDS);
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "connection");
    }

    /** Returns an HTTP/1.1 client without redirects that runs on {@code executor}. */
    public static HttpClient create(int connectTimeoutMillis, ExecutorService executor) {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .connectTimeout(Duration.ofMillis(connectTimeoutMillis))
                .executor(executor)
                .build();
    }
}
