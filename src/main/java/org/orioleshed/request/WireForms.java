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
 * The protobuf forms of keys, runs and outcomes. Reading a form that is no such value throws
 * IllegalArgumentException.
 */
public final class WireForms {
    private WireForms() {}

    /** Returns the form of a key. */
    public static RequestWire.Key of(RequestKey key) {
        return RequestWire.Key.newBuilder()
                .setWorkspace(key.workspace().value())
                .setKey(key.key())
                .build();
    }

    /** Returns the key of a form. */
    public static RequestKey key(RequestWire.Key form) {
        return new RequestKey(new WorkspaceId(form.getWorkspace()), form.getKey());
    }

    /** Returns the form of a run. */
    public static RequestWire.Run of(RunId run) {
        return RequestWire.Run.newBuilder()
                .setRequest(of(run.request()))
                .setAttempt(run.attempt())
                .build();
    }

    /** Returns the run of a form. */
    public static RunId run(RequestWire.Run form) {
        return new RunId(request(form.getRequest()), form.getAttempt());
    }

    static RequestWire.Request of(RequestId request) {
        return RequestWire.Request.newBuilder()
                .setHost(request.host().value())
                .setIncarnation(request.incarnation())
                .setSequence(request.sequence())
                .build();
    }

    static RequestId request(RequestWire.Request form) {
        return new RequestId(new HostId(form.getHost()), form.getIncarnation(), form.getSequence());
    }

    static RequestWire.Fingerprint of(Fingerprint fingerprint) {
        return RequestWire.Fingerprint.newBuilder()
                .setHigh(fingerprint.high())
                .setLow(fingerprint.low())
                .build();
    }

    static Fingerprint fingerprint(RequestWire.Fingerprint form) {
        return new Fingerprint(form.getHigh(), form.getLow());
    }

    /** Returns the form of an outcome. */
    public static RequestWire.Outcome of(Outcome outcome) {
        RequestWire.Outcome.Builder form = RequestWire.Outcome.newBuilder();
        switch (outcome) {
            case Outcome.Answered answered ->
                    form.getAnsweredBuilder()
                            .setTokens(answered.tokens())
                            .setBody(bytes(answered.body()));
            case Outcome.Failed failed ->
                    form.getFailedBuilder()
                            .setReason(failed.reason().name())
                            .setDetail(failed.detail());
            case Outcome.NotRun notRun ->
                    form.getNotRunBuilder()
                            .setReason(notRun.reason().name())
                            .setRetryAfterMillis(notRun.retryAfterMillis());
            case Outcome.InDoubt doubt -> form.getInDoubtBuilder().setDetail(doubt.detail());
        }
        return form.build();
    }

    /** Returns the outcome of a form. */
    public static Outcome outcome(RequestWire.Outcome form) {
        return switch (form.getOutcomeCase()) {
            case ANSWERED ->
                    new Outcome.Answered(
                            form.getAnswered().getTokens(), payload(form.getAnswered().getBody()));
            case FAILED ->
                    new Outcome.Failed(
                            Outcome.FailReason.valueOf(form.getFailed().getReason()),
                            form.getFailed().getDetail());
            case NOT_RUN ->
                    new Outcome.NotRun(
                            Outcome.NotRunReason.valueOf(form.getNotRun().getReason()),
                            form.getNotRun().getRetryAfterMillis());
            case IN_DOUBT -> new Outcome.InDoubt(form.getInDoubt().getDetail());
            case OUTCOME_NOT_SET -> throw new IllegalArgumentException("outcome must be given");
        };
    }

    static ByteString bytes(Payload payload) {
        return ByteString.copyFrom(payload.toBytes());
    }

    static Payload payload(ByteString bytes) {
        return Payload.of(bytes.toByteArray());
    }
}
