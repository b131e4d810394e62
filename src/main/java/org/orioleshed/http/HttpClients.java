package org.orioleshed.http;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.Executor;

/** Creates HTTP clients that never resend a request and believe no malformed response. */
public final class HttpClients {
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(2);

    private HttpClients() {}

    /**
     * Lets requests have a Connection field. Must be called before the first request is built, as
     * the JDK reads the system property once.
     */
    public static void allowConnectionField() {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "connection");
    }

    /**
     * Returns an HTTP/1.1 client without redirects.
     *
     * @param executor runs the handlers of response bodies
     */
    public static HttpClient create(Duration connectTimeout, Executor executor) {
        return new StrictHttpClient(connectTimeout, KEEP_ALIVE, executor);
    }
}
