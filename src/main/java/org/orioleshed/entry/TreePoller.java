package org.orioleshed.entry;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.World;
import org.orioleshed.model.HostId;
import org.orioleshed.settings.EntrySettings;
import org.orioleshed.settings.SettingsTree;
import org.orioleshed.store.Store;

/** Reads the tree of settings from the store once a second. */
final class TreePoller implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String KEY = "orioleshed/settings/tree";
    private static final long INTERVAL_MILLIS = 1_000;

    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().name("settings").daemon().factory());
    private final Store store;
    private final Map<HostId, EntryHost> hosts = new HashMap<>();
    private final Consumer<World> listener;
    private long revision;

    TreePoller(EntrySettings settings, long incarnation, Store store, Consumer<World> listener) {
        this.store = store;
        this.listener = listener;
        hosts.put(
                settings.host(),
                new EntryHost(
                        settings.host(),
                        settings.domain(),
                        incarnation,
                        settings.peerAddress(),
                        EntryHost.State.ALIVE));
        settings.peers()
                .forEach(
                        peer ->
                                hosts.put(
                                        peer.id(),
                                        new EntryHost(
                                                peer.id(),
                                                peer.domain(),
                                                1,
                                                peer.peerAddress(),
                                                EntryHost.State.ALIVE)));
    }

    void start() {
        var unused =
                timer.scheduleWithFixedDelay(this::poll, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void poll() {
        if (store.get(KEY, INTERVAL_MILLIS).join() instanceof Store.Result.Entries read) {
            read.entries().forEach(this::take);
        }
    }

    private void take(Store.Entry entry) {
        if (entry.revision() <= revision) {
            return;
        }
        switch (SettingsTree.parse(entry.value().text())) {
            case SettingsTree.Result.Problems problems ->
                    logger.atWarning().log("event=settings-bad problems=%s", problems.problems());
            case SettingsTree.Result.Loaded loaded -> {
                revision = entry.revision();
                listener.accept(loaded.tree().world(revision, hosts, Map.of(), Map.of(), Map.of()));
            }
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
