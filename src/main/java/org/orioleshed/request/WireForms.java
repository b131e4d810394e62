package org.orioleshed.request;

import com.google.protobuf.ByteString;
import org.orioleshed.model.Fingerprint;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.wire.RequestWire;

/**
 * Converts keys, runs and outcomes to and from protobuf messages. Converting an invalid message
 * throws {@link IllegalArgumentException}.
 */
public final class WireForms {
    private WireForms() {}

    /** Returns the protobuf message of a key. */
    public static RequestWire.Key of(RequestKey key) {
        return RequestWire.Key.newBuilder()
                .setWorkspace(key.workspace().value())
                .setKey(key.key())
                .build();
    }

    /** Returns the key in a protobuf message. */
    public static RequestKey key(RequestWire.Key proto) {
        return new RequestKey(new WorkspaceId(proto.getWorkspace()), proto.getKey());
    }

    /** Returns the protobuf message of a run. */
    public static RequestWire.Run of(RunId run) {
        return RequestWire.Run.newBuilder()
                .setRequest(of(run.request()))
                .setAttempt(run.attempt())
                .build();
    }

    /** Returns the run in a protobuf message. */
    public static RunId run(RequestWire.Run proto) {
        return new RunId(request(proto.getRequest()), proto.getAttempt());
    }

    static RequestWire.Request of(RequestId request) {
        return RequestWire.Request.newBuilder()
                .setHost(request.host().value())
                .setIncarnation(request.incarnation())
                .setSequence(request.sequence())
                .build();
    }

    static RequestId request(RequestWire.Request proto) {
        return new RequestId(
                new HostId(proto.getHost()), proto.getIncarnation(), proto.getSequence());
    }

    static RequestWire.Fingerprint of(Fingerprint fingerprint) {
        return RequestWire.Fingerprint.newBuilder()
                .setHigh(fingerprint.high())
                .setLow(fingerprint.low())
                .build();
    }

    static Fingerprint fingerprint(RequestWire.Fingerprint proto) {
        return new Fingerprint(proto.getHigh(), proto.getLow());
    }

    /** Returns the protobuf message of an outcome. */
    public static RequestWire.Outcome of(Outcome outcome) {
        RequestWire.Outcome.Builder proto = RequestWire.Outcome.newBuilder();
        switch (outcome) {
            case Outcome.Answered answered ->
                    proto.getAnsweredBuilder()
                            .setTokens(answered.tokens())
                            .setBody(bytes(answered.body()));
            case Outcome.Failed failed ->
                    proto.getFailedBuilder()
                            .setReason(failed.reason().name())
                            .setDetail(failed.detail());
            case Outcome.NotRun notRun ->
                    proto.getNotRunBuilder()
                            .setReason(notRun.reason().name())
                            .setRetryAfterMillis(notRun.retryAfterMillis());
            case Outcome.InDoubt inDoubt -> proto.getInDoubtBuilder().setDetail(inDoubt.detail());
        }
        return proto.build();
    }

    /** Returns the outcome in a protobuf message. */
    public static Outcome outcome(RequestWire.Outcome proto) {
        return switch (proto.getOutcomeCase()) {
            case ANSWERED ->
                    new Outcome.Answered(
                            proto.getAnswered().getTokens(),
                            payload(proto.getAnswered().getBody()));
            case FAILED ->
                    new Outcome.Failed(
                            Outcome.FailReason.valueOf(proto.getFailed().getReason()),
                            proto.getFailed().getDetail());
            case NOT_RUN ->
                    new Outcome.NotRun(
                            Outcome.NotRunReason.valueOf(proto.getNotRun().getReason()),
                            proto.getNotRun().getRetryAfterMillis());
            case IN_DOUBT -> new Outcome.InDoubt(proto.getInDoubt().getDetail());
            case OUTCOME_NOT_SET ->
                    throw new IllegalArgumentException("outcome message has no outcome set");
        };
    }

    static ByteString bytes(Payload payload) {
        return ByteString.copyFrom(payload.toBytes());
    }

    static Payload payload(ByteString bytes) {
        return Payload.of(bytes.toByteArray());
    }
}
