package org.orioleshed.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.sun.net.httpserver.HttpsConfigurator;
import com.sun.net.httpserver.HttpsServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link StrictHttpClient} over TLS. */
public class SecureClientTest {
    private static final char[] PASSWORD = "password".toCharArray();

    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private SSLContext defaultContext;
    private SSLContext trusting;
    private HttpsServer server;
    private HttpClient client;

    @BeforeMethod
    public void open() throws Exception {
        defaultContext = SSLContext.getDefault();
        trusting = context(newKeyStore());
        server = HttpsServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setHttpsConfigurator(new HttpsConfigurator(trusting));
        server.createContext(
                "/",
                exchange -> {
                    exchange.sendResponseHeaders(200, 2);
                    exchange.getResponseBody().write("ok".getBytes(StandardCharsets.US_ASCII));
                    exchange.close();
                });
        server.start();
        client = new StrictHttpClient(Duration.ofSeconds(2), Duration.ofSeconds(2), threads);
    }

    @AfterMethod
    public void close() {
        SSLContext.setDefault(defaultContext);
        client.close();
        server.stop(0);
    }

    /** Returns a key store with a self-signed certificate for 127.0.0.1. */
    private static KeyStore newKeyStore() throws Exception {
        Path file = Files.createTempDirectory("tls").resolve("keys.p12");
        Process keytool =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                "a",
                                "-keyalg",
                                "EC",
                                "-dname",
                                "CN=a",
                                "-ext",
                                "SAN=ip:127.0.0.1",
                                "-storepass",
                                new String(PASSWORD),
                                "-keystore",
                                file.toString())
                        .start();
        assertEquals(keytool.waitFor(), 0);
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(file)) {
            keys.load(in, PASSWORD);
        }
        return keys;
    }

    private static SSLContext context(KeyStore keys) throws Exception {
        KeyManagerFactory keyManagers =
                KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        keyManagers.init(keys, PASSWORD);
        TrustManagerFactory trustManagers =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trustManagers.init(keys);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(keyManagers.getKeyManagers(), trustManagers.getTrustManagers(), null);
        return context;
    }

    private HttpRequest request(String host) {
        URI address = URI.create("https://%s:%d/".formatted(host, server.getAddress().getPort()));
        return HttpRequest.newBuilder(address).timeout(Duration.ofSeconds(10)).build();
    }

    @Test
    public void aTrustedServerIsRead() throws Exception {
        SSLContext.setDefault(trusting);
        for (int i = 0; i < 2; i++) {
            assertEquals(client.send(request("127.0.0.1"), BodyHandlers.ofString()).body(), "ok");
        }
    }

    /** Guards against a server that nobody vouches for, or that is known by another name. */
    @Test
    public void anotherServerIsNotTrusted() {
        assertThrows(
                IOException.class,
                () -> client.send(request("127.0.0.1"), BodyHandlers.ofString()));
        SSLContext.setDefault(trusting);
        assertThrows(
                IOException.class,
                () -> client.send(request("localhost"), BodyHandlers.ofString()));
    }
}
