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

/** One question to all hosts, and the answers so far. */
final class StatusRound {
    private final HostId self;
    private final List<EntryHost> hosts;
    private final Map<HostId, SettingsStatus> told = new HashMap<>();
    private final long deadlineNanos;
    private final CompletableFuture<ControlStatus> answer;

    StatusRound(
            HostId self,
            List<EntryHost> hosts,
            long deadlineNanos,
            CompletableFuture<ControlStatus> answer) {
        this.self = self;
        this.hosts = hosts;
        this.deadlineNanos = deadlineNanos;
        this.answer = answer;
    }

    void tell(HostId host, SettingsStatus status) {
        told.put(host, status);
    }

    /** Ends the round when all have answered or the time is over; returns whether it ended. */
    boolean finish(long nowNanos, SettingsStatus own) {
        if (told.size() < hosts.size() - 1 && nowNanos < deadlineNanos) {
            return false;
        }
        told.put(self, own);
        List<ControlStatus.HostStatus> statuses = new ArrayList<>();
        for (EntryHost host : hosts) {
            Optional<SettingsStatus> status = Optional.ofNullable(told.get(host.id()));
            statuses.add(new ControlStatus.HostStatus(host, status));
        }
        answer.complete(new ControlStatus(self, own, statuses));
        return true;
    }
}
