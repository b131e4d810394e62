package org.orioleshed.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.model.HostId;
import org.orioleshed.settings.SettingsStatus;

/** Collects the answers of all hosts to one status query. */
final class StatusCollector {
    private final HostId self;
    private final List<EntryHost> hosts;
    private final Map<HostId, SettingsStatus> statusByHost = new HashMap<>();
    private final long deadlineNanos;
    private final CompletableFuture<ControlStatus> answer;

    StatusCollector(
            HostId self,
            List<EntryHost> hosts,
            long deadlineNanos,
            CompletableFuture<ControlStatus> answer) {
        this.self = self;
        this.hosts = hosts;
        this.deadlineNanos = deadlineNanos;
        this.answer = answer;
    }

    void record(HostId host, SettingsStatus status) {
        statusByHost.put(host, status);
    }

    /**
     * Completes the answer if all hosts answered or the deadline passed; returns whether it did.
     */
    boolean finish(long nowNanos, SettingsStatus own) {
        if (statusByHost.size() < hosts.size() - 1 && nowNanos < deadlineNanos) {
            return false;
        }
        statusByHost.put(self, own);
        List<ControlStatus.HostStatus> statuses = new ArrayList<>();
        for (EntryHost host : hosts) {
            Optional<SettingsStatus> status = Optional.ofNullable(statusByHost.get(host.id()));
            statuses.add(new ControlStatus.HostStatus(host, status));
        }
        answer.complete(new ControlStatus(self, own, statuses));
        return true;
    }
}
