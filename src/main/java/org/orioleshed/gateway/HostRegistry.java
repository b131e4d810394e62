package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.orioleshed.model.Payload;
import org.orioleshed.settings.HostPorts;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/**
 * Registers this host's peer address in the store and discovers other hosts there, since all seeds
 * of the settings may be stale. Membership takes over from the discovered addresses.
 */
public final class HostRegistry {
    /** The key prefix of host registrations, in the part of the store owned by this product. */
    private static final String PREFIX = "orioleshed/hosts/";

    /** Outlasts most store outages, so that hosts that start after one find the others. */
    private static final long LEASE_MILLIS = 60_000;

    private static final long RENEWAL_INTERVAL_MILLIS = 15_000;

    /**
     * The interval at which a host without live peers lists the registrations, and at which a
     * failed registration is retried.
     */
    private static final long RETRY_INTERVAL_MILLIS = 2_000;

    private static final long CALL_TIMEOUT_MILLIS = 1_500;

    private final Store store;
    private final InetSocketAddress self;
    private final ScheduledExecutorService executor;
    private final BooleanSupplier alone;
    private final Consumer<List<InetSocketAddress>> found;
    private final Consumer<String> log;
    private long leaseId;
    private long leaseEra;
    private boolean registered;

    /**
     * Creates a registry that is not started.
     *
     * @param store the store that holds the registrations
     * @param self this host's peer address
     * @param executor runs all work of the registry
     * @param alone returns whether this host has no live peer; called on the executor's thread
     * @param found receives other hosts' peer addresses, on the executor's thread
     * @param log receives log lines
     */
    public HostRegistry(
            Store store,
            InetSocketAddress self,
            ScheduledExecutorService executor,
            BooleanSupplier alone,
            Consumer<List<InetSocketAddress>> found,
            Consumer<String> log) {
        this.store = store;
        this.self = self;
        this.executor = executor;
        this.alone = alone;
        this.found = found;
        this.log = log;
    }

    /** Starts to register, renew and discover. */
    public void start() {
        executor.execute(this::renew);
        executor.execute(this::discoverIfAlone);
    }

    private void renew() {
        if (leaseId == 0) {
            store.grantLease(LEASE_MILLIS, CALL_TIMEOUT_MILLIS)
                    .thenAcceptAsync(this::granted, executor);
        } else {
            store.keepAlive(leaseId, CALL_TIMEOUT_MILLIS).thenAcceptAsync(this::renewed, executor);
        }
    }

    private void granted(Store.Result result) {
        if (result instanceof Store.Result.Lease lease) {
            leaseId = lease.leaseId();
            leaseEra = lease.era();
            registered = false;
            write(StoreRevision.NONE);
            return;
        }
        failed("lease", result);
    }

    private void renewed(Store.Result result) {
        if (result instanceof Store.Result.Lease lease) {
            if (lease.era() != leaseEra) {
                log.accept("event=lease_of_earlier_era lease=%d".formatted(leaseId));
                leaseId = 0;
                renew();
            } else if (registered) {
                scheduleRenewal(RENEWAL_INTERVAL_MILLIS);
            } else {
                write(StoreRevision.NONE);
            }
            return;
        }
        leaseId = 0;
        failed("renewal", result);
    }

    private void write(StoreRevision revision) {
        store.swap(key(), revision, Payload.of(format(self)), leaseId, CALL_TIMEOUT_MILLIS)
                .thenAcceptAsync(this::swapped, executor);
    }

    private void swapped(Store.Result result) {
        switch (result) {
            case Store.Result.Swapped swapped -> {
                registered = true;
                log.accept("event=registered key=%s".formatted(key()));
                scheduleRenewal(RENEWAL_INTERVAL_MILLIS);
            }
            case Store.Result.Conflict conflict ->
                    write(conflict.present().map(Store.Entry::revision).orElse(StoreRevision.NONE));
            case Store.Result.Entries entries -> failed("write", result);
            case Store.Result.Lease lease -> failed("write", result);
            case Store.Result.Unknown unknown -> failed("write", result);
            case Store.Result.Unavailable unavailable -> failed("write", result);
        }
    }

    private void failed(String step, Store.Result result) {
        log.accept("event=not_registered step=%s reason=\"%s\"".formatted(step, result));
        scheduleRenewal(RETRY_INTERVAL_MILLIS);
    }

    private void scheduleRenewal(long millis) {
        var unused = executor.schedule(this::renew, millis, TimeUnit.MILLISECONDS);
    }

    private void discoverIfAlone() {
        if (alone.getAsBoolean()) {
            store.list(PREFIX, CALL_TIMEOUT_MILLIS).thenAcceptAsync(this::listed, executor);
        }
        var unused =
                executor.schedule(
                        this::discoverIfAlone, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void listed(Store.Result result) {
        if (!(result instanceof Store.Result.Entries entries)) {
            log.accept("event=host_listing_failed reason=\"%s\"".formatted(result));
            return;
        }
        List<InetSocketAddress> others = new ArrayList<>();
        for (Store.Entry entry : entries.entries()) {
            HostPorts.parse(entry.value().text())
                    .filter(address -> address.getPort() > 0 && !address.equals(self))
                    .ifPresent(others::add);
        }
        found.accept(others);
        log.accept("event=hosts_found count=%d".formatted(others.size()));
    }

    private String key() {
        return PREFIX + self.getAddress().getHostAddress();
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
