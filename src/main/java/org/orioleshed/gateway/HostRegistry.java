package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.orioleshed.model.Payload;
import org.orioleshed.store.Store;

/**
 * Tells the other hosts through the store where this one is, and finds them there, since the seeds
 * of the settings may all be gone. Membership does the rest.
 */
public final class HostRegistry {
    /** The product's own part of the store. */
    private static final String PREFIX = "orioleshed/hosts/";

    /** Longer than most outages of the store, so that hosts that start then find the others. */
    private static final long LEASE_MILLIS = 60_000;

    private static final long RENEW_MILLIS = 15_000;

    /** A host that sees no other looks for some at this interval. */
    private static final long LOOK_MILLIS = 2_000;

    private static final long CALL_MILLIS = 1_500;

    private final Store store;
    private final InetSocketAddress self;
    private final ScheduledExecutorService executor;
    private final BooleanSupplier alone;
    private final Consumer<List<InetSocketAddress>> found;
    private final Consumer<String> log;
    private long leaseId;
    private boolean written;

    /**
     * Makes one that does nothing yet.
     *
     * @param self this host's peer address
     * @param alone whether this host sees no other; called on the executor's thread
     * @param found takes other hosts' peer addresses
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

    /** Starts to register, renew and look. */
    public void start() {
        executor.execute(this::renew);
        executor.execute(this::lookIfAlone);
    }

    private void renew() {
        if (leaseId == 0) {
            store.grantLease(LEASE_MILLIS, CALL_MILLIS).thenAcceptAsync(this::granted, executor);
        } else {
            store.keepAlive(leaseId, CALL_MILLIS).thenAcceptAsync(this::kept, executor);
        }
    }

    private void granted(Store.Result result) {
        if (result instanceof Store.Result.Lease lease) {
            leaseId = lease.leaseId();
            written = false;
            write(0);
            return;
        }
        failed("lease", result);
    }

    private void kept(Store.Result result) {
        if (result instanceof Store.Result.Lease) {
            if (written) {
                again(RENEW_MILLIS);
            } else {
                write(0);
            }
            return;
        }
        leaseId = 0;
        failed("renewal", result);
    }

    private void write(long revision) {
        store.swap(key(), revision, Payload.of(text(self)), leaseId, CALL_MILLIS)
                .thenAcceptAsync(this::swapped, executor);
    }

    private void swapped(Store.Result result) {
        switch (result) {
            case Store.Result.Swapped swapped -> {
                written = true;
                log.accept("event=registered key=%s".formatted(key()));
                again(RENEW_MILLIS);
            }
            case Store.Result.Conflict conflict ->
                    write(conflict.present().map(Store.Entry::revision).orElse(0L));
            case Store.Result.Entries entries -> failed("write", result);
            case Store.Result.Lease lease -> failed("write", result);
            case Store.Result.Unknown unknown -> failed("write", result);
            case Store.Result.Unavailable away -> failed("write", result);
        }
    }

    private void failed(String what, Store.Result result) {
        log.accept("event=not_registered step=%s reason=\"%s\"".formatted(what, result));
        again(LOOK_MILLIS);
    }

    private void again(long millis) {
        var unused = executor.schedule(this::renew, millis, TimeUnit.MILLISECONDS);
    }

    private void lookIfAlone() {
        if (alone.getAsBoolean()) {
            store.list(PREFIX, CALL_MILLIS).thenAcceptAsync(this::listed, executor);
        }
        var unused = executor.schedule(this::lookIfAlone, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void listed(Store.Result result) {
        if (!(result instanceof Store.Result.Entries entries)) {
            log.accept("event=hosts_unknown reason=\"%s\"".formatted(result));
            return;
        }
        List<InetSocketAddress> others = new ArrayList<>();
        for (Store.Entry entry : entries.entries()) {
            InetSocketAddress address = address(entry.value().text());
            if (address != null && !address.equals(self)) {
                others.add(address);
            }
        }
        found.accept(others);
        log.accept("event=hosts_found count=%d".formatted(others.size()));
    }

    private String key() {
        return PREFIX + self.getAddress().getHostAddress();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the address in an entry; null where another program wrote something else. */
    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
