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
 * Finds the request status of keys that this host does not know itself: asks the directory, the
 * host that accepted the key's request, and the claims in the store. The first sure word is the
 * answer.
 */
final class StatusInquiries {
    private static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
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
        final long untilNanos;
        final List<Long> tickets = new ArrayList<>();

        /** What this host knows itself. */
        final RequestStatus here;

        boolean directoryKnowsNone;
        boolean storeKnowsNone;
        boolean storeUnavailable;
        boolean known;

        Inquiry(RequestKey key, RequestStatus here, long untilNanos) {
            this.key = key;
            this.here = here;
            this.untilNanos = untilNanos;
        }

        /** Returns what is known when no other host said more; "not run" once all were heard. */
        RequestStatus unlessOthersKnow() {
            boolean heardAll = directoryKnowsNone && storeKnowsNone && !storeUnavailable;
            boolean notRun =
                    here instanceof RequestStatus.Final end
                            && end.outcome() instanceof Outcome.NotRun;
            return notRun && !heardAll ? new RequestStatus.Unknown() : here;
        }
    }

    void onFleet(FleetSnapshot changed) {
        fleet = changed;
    }

    /**
     * Starts to look for a key.
     *
     * @param here what this host knows itself
     * @param directory the host to ask; empty when this host keeps the key's entry, which names
     *     {@code holder}
     */
    void start(
            long nowNanos,
            long ticket,
            RequestKey key,
            RequestStatus here,
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
        Inquiry inquiry = new Inquiry(key, here, nowNanos + MAX_NANOS);
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

    /** Hears from the directory who accepted the key's request. */
    void onHolder(RequestKey key, Optional<RequestId> holder) {
        Inquiry inquiry = byKey.get(key);
        if (inquiry == null) {
            return;
        }
        if (holder.isEmpty() || !lives(holder.get())) {
            inquiry.directoryKnowsNone = true;
            endIfUnknown(inquiry);
            return;
        }
        inquiry.known = true;
        send(holder.get().host(), new RequestMessage.StatusRequested(key, Optional.empty()));
    }

    /** Hears what the store knows. */
    void onLookedUp(long ticket, Claims.Result result) {
        Inquiry inquiry = byTicket.get(ticket);
        if (inquiry == null) {
            return;
        }
        if (!(result instanceof Claims.Result.Taken taken)) {
            inquiry.storeKnowsNone = true;
            inquiry.storeUnavailable = result instanceof Claims.Result.Unavailable;
            endIfUnknown(inquiry);
            return;
        }
        if (taken.outcome().isPresent()) {
            end(inquiry, new RequestStatus.Final(taken.outcome().get()));
            return;
        }
        RunId holder = taken.holder();
        if (!lives(holder.request())) {
            String detail = "the host that sent the call is gone, and left no outcome";
            end(inquiry, new RequestStatus.Final(new Outcome.InDoubt(detail)));
            return;
        }
        inquiry.known = true;
        send(taken.host(), new RequestMessage.StatusRequested(inquiry.key, Optional.of(holder)));
    }

    /** Hears from the host that accepted the key's request. */
    void onStatus(RequestMessage.StatusReported told) {
        Inquiry inquiry = byKey.get(told.key());
        if (inquiry == null) {
            return;
        }
        switch (told.status()) {
            case RequestStatus.Pending pending -> end(inquiry, pending);
            case RequestStatus.Final end -> end(inquiry, end);
            case RequestStatus.Unknown unknown when told.claim().isPresent() -> {
                String detail = "the host that sent the call no longer knows its outcome";
                end(inquiry, new RequestStatus.Final(new Outcome.InDoubt(detail)));
            }
            case RequestStatus.Unknown unknown -> {
                inquiry.directoryKnowsNone = true;
                endIfUnknown(inquiry);
            }
        }
    }

    /** Ends what nobody answered in time. */
    void tick(long nowNanos) {
        for (Inquiry inquiry : List.copyOf(byTicket.values())) {
            if (nowNanos < inquiry.untilNanos) {
                return;
            }
            end(inquiry, inquiry.known ? new RequestStatus.Pending() : inquiry.unlessOthersKnow());
        }
    }

    private void endIfUnknown(Inquiry inquiry) {
        if (inquiry.directoryKnowsNone && inquiry.storeKnowsNone) {
            end(inquiry, inquiry.unlessOthersKnow());
        }
    }

    private void end(Inquiry inquiry, RequestStatus status) {
        byKey.remove(inquiry.key);
        byTicket.values().remove(inquiry);
        inquiry.tickets.forEach(ticket -> out.accept(new HostAction.ReplyStatus(ticket, status)));
    }

    private boolean lives(RequestId request) {
        EntryHost host = fleet.hosts().get(request.host());
        return host != null
                && host.state() != EntryHost.State.DEAD
                && host.incarnation() == request.incarnation();
    }

    private void send(HostId to, RequestMessage message) {
        out.accept(new HostAction.SendRequest(to, message));
    }
}
