package org.orioleshed.http;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Flow;

/** Collects the body of a request from its publisher. */
final class RequestBody implements Flow.Subscriber<ByteBuffer> {
    private final HttpResponse.BodySubscriber<byte[]> bytes =
            HttpResponse.BodySubscribers.ofByteArray();

    private RequestBody() {}

    /** Returns what a publisher publishes; waits for its end. */
    static byte[] read(HttpRequest.BodyPublisher publisher) {
        RequestBody body = new RequestBody();
        publisher.subscribe(body);
        return body.bytes.getBody().toCompletableFuture().join();
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        bytes.onSubscribe(subscription);
    }

    @Override
    public void onNext(ByteBuffer next) {
        bytes.onNext(List.of(next));
    }

    @Override
    public void onError(Throwable error) {
        bytes.onError(error);
    }

    @Override
    public void onComplete() {
        bytes.onComplete();
    }
}
