package org.orioleshed.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.orioleshed.fleet.EntryHost;
import org.orioleshed.fleet.FleetSnapshot;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/**
 * Finds the status of keys that is not certain from this host's own data: queries the directory,
 * the host that accepted the key's request, and the claims in the store. The first conclusive reply
 * is the result.
 */
final class StatusInquiries {
    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final int MAX_INQUIRIES = 10_000;

    private final Claims claims;
    private final Consumer<HostAction> out;
    private final Map<Long, Inquiry> byTicket = new LinkedHashMap<>();
    private final Map<RequestKey, Inquiry> byKey = new HashMap<>();
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;

    StatusInquiries(Claims claims, Consumer<HostAction> out) {
        this.claims = claims;
        this.out = out;
    }

    private static final class Inquiry {
        final RequestKey key;
        final long deadlineNanos;
        final List<Long> tickets = new ArrayList<>();

        /** The status according to this host's own data. */
        final RequestStatus local;

        boolean notInDirectory;
        boolean notInStore;
        boolean storeUnavailable;
        boolean found;

        Inquiry(RequestKey key, RequestStatus local, long deadlineNanos) {
            this.key = key;
            this.local = local;
            this.deadlineNanos = deadlineNanos;
        }

        /**
         * Returns the local status, for when no other source reported one. A local "not run" is
         * returned only if both the directory and the store confirmed that they have no entry.
         */
        RequestStatus confirmedLocal() {
            boolean allConfirmed = notInDirectory && notInStore && !storeUnavailable;
            boolean notRun =
                    local instanceof RequestStatus.Final end
                            && end.outcome() instanceof Outcome.NotRun;
            return notRun && !allConfirmed ? new RequestStatus.Unknown() : local;
        }
    }

    void onFleet(FleetSnapshot changed) {
        fleet = changed;
    }

    /**
     * Starts an inquiry.
     *
     * @param local the status according to this host's own data
     * @param directory the directory host to query; empty if this host stores the key's entry,
     *     which has {@code holder}
     */
    void start(
            long nowNanos,
            long ticket,
            RequestKey key,
            RequestStatus local,
            Optional<HostId> directory,
            Optional<RequestId> holder) {
        Inquiry running = byKey.get(key);
        if (running != null) {
            running.tickets.add(ticket);
            return;
        }
        if (byKey.size() >= MAX_INQUIRIES) {
            out.accept(new HostAction.ReplyStatus(ticket, new RequestStatus.Unknown()));
            return;
        }
        Inquiry inquiry = new Inquiry(key, local, nowNanos + TIMEOUT_NANOS);
        inquiry.tickets.add(ticket);
        byKey.put(key, inquiry);
        byTicket.put(ticket, inquiry);
        if (directory.isPresent()) {
            send(directory.get(), new RequestMessage.KeyRequested(key));
        } else {
            onHolder(key, holder);
        }
        claims.lookUp(nowNanos, ticket, key);
    }

    /** Handles the directory's reply on which request holds the key. */
    void onHolder(RequestKey key, Optional<RequestId> holder) {
        Inquiry inquiry = byKey.get(key);
        if (inquiry == null) {
            return;
        }
        if (holder.isEmpty() || !isHostAlive(holder.get())) {
            inquiry.notInDirectory = true;
            endIfNotFound(inquiry);
            return;
        }
        inquiry.found = true;
        send(holder.get().host(), new RequestMessage.StatusRequested(key, Optional.empty()));
    }

    /** Handles the result of the lookup in the store. */
    void onLookedUp(long ticket, Claims.Result result) {
        Inquiry inquiry = byTicket.get(ticket);
        if (inquiry == null) {
            return;
        }
        if (!(result instanceof Claims.Result.Taken taken)) {
            inquiry.notInStore = true;
            inquiry.storeUnavailable = result instanceof Claims.Result.Unavailable;
            endIfNotFound(inquiry);
            return;
        }
        if (taken.outcome().isPresent()) {
            end(inquiry, new RequestStatus.Final(taken.outcome().get()));
            return;
        }
        RunId holder = taken.holder();
        if (!isHostAlive(holder.request())) {
            String detail = "the host that sent the call is gone, and left no outcome";
            end(inquiry, new RequestStatus.Final(new Outcome.InDoubt(detail)));
            return;
        }
        inquiry.found = true;
        send(taken.host(), new RequestMessage.StatusRequested(inquiry.key, Optional.of(holder)));
    }

    /** Handles the status reported by the host that accepted the key's request. */
    void onStatus(RequestMessage.StatusReported reported) {
        Inquiry inquiry = byKey.get(reported.key());
        if (inquiry == null) {
            return;
        }
        switch (reported.status()) {
            case RequestStatus.Pending pending -> end(inquiry, pending);
            case RequestStatus.Final end -> end(inquiry, end);
            case RequestStatus.Unknown unknown when reported.claim().isPresent() -> {
                String detail = "the host that sent the call no longer knows its outcome";
                end(inquiry, new RequestStatus.Final(new Outcome.InDoubt(detail)));
            }
            case RequestStatus.Unknown unknown -> {
                inquiry.notInDirectory = true;
                endIfNotFound(inquiry);
            }
        }
    }

    /** Ends inquiries that have timed out. */
    void tick(long nowNanos) {
        for (Inquiry inquiry : List.copyOf(byTicket.values())) {
            if (nowNanos < inquiry.deadlineNanos) {
                return;
            }
            end(inquiry, inquiry.found ? new RequestStatus.Pending() : inquiry.confirmedLocal());
        }
    }

    private void endIfNotFound(Inquiry inquiry) {
        if (inquiry.notInDirectory && inquiry.notInStore) {
            end(inquiry, inquiry.confirmedLocal());
        }
    }

    private void end(Inquiry inquiry, RequestStatus status) {
        byKey.remove(inquiry.key);
        byTicket.values().remove(inquiry);
        inquiry.tickets.forEach(ticket -> out.accept(new HostAction.ReplyStatus(ticket, status)));
    }

    private boolean isHostAlive(RequestId request) {
        EntryHost host = fleet.hosts().get(request.host());
        return host != null
                && host.state() != EntryHost.State.DEAD
                && host.incarnation() == request.incarnation();
    }

    private void send(HostId to, RequestMessage message) {
        out.accept(new HostAction.SendRequest(to, message));
    }
}
