package org.orioleshed.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

/** An {@link AdminBackend} that records its calls and returns the same reply to each. */
final class FakeBackend implements AdminBackend {
    final List<Object> calls = new ArrayList<>();
    AdminReply reply = new AdminReply.Accepted("c1", 7, "fine");
    Notices notices = new Notices(List.of(), 0);
    RuntimeException failure;

    /** Returned by all calls instead of the reply, if set. */
    CompletableFuture<AdminReply> pending;

    final CountDownLatch called = new CountDownLatch(1);

    private synchronized CompletableFuture<AdminReply> answer(Object call) {
        calls.add(call);
        called.countDown();
        if (pending != null) {
            return pending;
        }
        if (failure != null) {
            return CompletableFuture.failedFuture(failure);
        }
        return CompletableFuture.completedFuture(reply);
    }

    @Override
    public CompletableFuture<AdminReply> settings(String path, boolean effective) {
        return answer("settings " + path + " " + effective);
    }

    @Override
    public CompletableFuture<AdminReply> changeSettings(SettingsChange change) {
        return answer(change);
    }

    @Override
    public CompletableFuture<AdminReply> settingsDiff(long fromRevision, long toRevision) {
        return answer("diff " + fromRevision + " " + toRevision);
    }

    @Override
    public CompletableFuture<AdminReply> settingsHistory(int limit) {
        return answer("history " + limit);
    }

    @Override
    public CompletableFuture<AdminReply> settingsStatus() {
        return answer("status");
    }

    @Override
    public CompletableFuture<AdminReply> planRollout(RolloutPlan plan) {
        return answer(plan);
    }

    @Override
    public CompletableFuture<AdminReply> rollouts() {
        return answer("moves");
    }

    @Override
    public CompletableFuture<AdminReply> rollout(String id) {
        return answer("move " + id);
    }

    @Override
    public CompletableFuture<AdminReply> rollBack(String id, String author, String reason) {
        return answer("take-back " + id + " " + author + " " + reason);
    }

    @Override
    public CompletableFuture<Notices> notices(long after, long waitMillis) {
        return CompletableFuture.completedFuture(notices);
    }

    @Override
    public CompletableFuture<AdminReply> hosts() {
        return answer("hosts");
    }

    @Override
    public CompletableFuture<AdminReply> servers() {
        return answer("servers");
    }

    @Override
    public CompletableFuture<AdminReply> requests(Optional<String> workspace, int limit) {
        return answer("requests " + workspace.orElse("all") + " " + limit);
    }

    @Override
    public CompletableFuture<AdminReply> poison() {
        return answer("poison");
    }

    @Override
    public CompletableFuture<AdminReply> clearPoison(Optional<String> fingerprint, String author) {
        return answer("clear " + fingerprint.orElse("all") + " " + author);
    }
}
