package org.orioleshed.dispatch;

import java.util.function.Consumer;
import org.orioleshed.catalog.PoolServer;

/** Makes the pacing of each start of a server, as the deployment's policy states it. */
final class PacedServers {
    private final PacingPolicy policy;
    private final Consumer<String> log;
    private long wallMillis;

    PacedServers(PacingPolicy policy, Consumer<String> log) {
        this.policy = policy;
        this.log = log;
    }

    /** Sets the wall-clock time of the current event, in Unix milliseconds; 0 if not known. */
    void setWallMillis(long newWallMillis) {
        wallMillis = newWallMillis;
    }

    /** Returns the pacing of a server whose entry is new; it is paced if it started recently. */
    ServerPacing create(PoolServer server, long nowNanos) {
        ServerPacing pacing = new ServerPacing(policy.active(), log);
        if (isRecent(server)) {
            pacing.recordStart(server, nowNanos);
        }
        return pacing;
    }

    /**
     * Clocks of hosts differ, so a start that lies in the future by less than the same time counts
     * as recent.
     */
    private boolean isRecent(PoolServer server) {
        return wallMillis != 0
                && server.startMillis() != 0
                && Math.abs(wallMillis - server.startMillis()) < policy.recentStartMillis();
    }
}
