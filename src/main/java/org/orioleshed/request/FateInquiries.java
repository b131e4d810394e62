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
import org.orioleshed.fleet.World;
import org.orioleshed.host.HostAction;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;

/**
 * Finds the fate of keys that this host does not know itself: asks the directory, the host that
 * accepted the key's request, and the claims in the store. The first sure word is the answer.
 */
final class FateInquiries {
    private static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    private static final int MAX_INQUIRIES = 10_000;

    private final Claims claims;
    private final Consumer<HostAction> out;
    private final Map<Long, Inquiry> byTicket = new LinkedHashMap<>();
    private final Map<RequestKey, Inquiry> byKey = new HashMap<>();
    private World world = World.EMPTY;

    FateInquiries(Claims claims, Consumer<HostAction> out) {
        this.claims = claims;
        this.out = out;
    }

    private static final class Inquiry {
        final RequestKey key;
        final long untilNanos;
        final List<Long> tickets = new ArrayList<>();

        /** What this host knows itself. */
        final Fate here;

        boolean directoryKnowsNone;
        boolean storeKnowsNone;
        boolean storeAway;
        boolean known;

        Inquiry(RequestKey key, Fate here, long untilNanos) {
            this.key = key;
            this.here = here;
            this.untilNanos = untilNanos;
        }

        /** Returns what is known when no other host said more; "not run" once all were heard. */
        Fate unlessOthersKnow() {
            boolean heardAll = directoryKnowsNone && storeKnowsNone && !storeAway;
            boolean notRun =
                    here instanceof Fate.Final end && end.outcome() instanceof Outcome.NotRun;
            return notRun && !heardAll ? new Fate.Unknown() : here;
        }
    }

    void onWorld(World changed) {
        world = changed;
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
            Fate here,
            Optional<HostId> directory,
            Optional<RequestId> holder) {
        Inquiry running = byKey.get(key);
        if (running != null) {
            running.tickets.add(ticket);
            return;
        }
        if (byKey.size() >= MAX_INQUIRIES) {
            out.accept(new HostAction.TellFate(ticket, new Fate.Unknown()));
            return;
        }
        Inquiry inquiry = new Inquiry(key, here, nowNanos + MAX_NANOS);
        inquiry.tickets.add(ticket);
        byKey.put(key, inquiry);
        byTicket.put(ticket, inquiry);
        if (directory.isPresent()) {
            send(directory.get(), new RequestMessage.KeyAsked(key));
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
        send(holder.get().host(), new RequestMessage.FateAsked(key, Optional.empty()));
    }

    /** Hears what the store knows. */
    void onLookedUp(long ticket, Claims.Result result) {
        Inquiry inquiry = byTicket.get(ticket);
        if (inquiry == null) {
            return;
        }
        if (!(result instanceof Claims.Result.Taken taken)) {
            inquiry.storeKnowsNone = true;
            inquiry.storeAway = result instanceof Claims.Result.Away;
            endIfUnknown(inquiry);
            return;
        }
        if (taken.outcome().isPresent()) {
            end(inquiry, new Fate.Final(taken.outcome().get()));
            return;
        }
        RunId owner = taken.owner();
        if (!lives(owner.request())) {
            String detail = "the host that sent the call is gone, and left no outcome";
            end(inquiry, new Fate.Final(new Outcome.InDoubt(detail)));
            return;
        }
        inquiry.known = true;
        send(taken.host(), new RequestMessage.FateAsked(inquiry.key, Optional.of(owner)));
    }

    /** Hears from the host that accepted the key's request. */
    void onFate(RequestMessage.FateTold told) {
        Inquiry inquiry = byKey.get(told.key());
        if (inquiry == null) {
            return;
        }
        switch (told.fate()) {
            case Fate.Pending pending -> end(inquiry, pending);
            case Fate.Final end -> end(inquiry, end);
            case Fate.Unknown unknown when told.claim().isPresent() -> {
                String detail = "the host that sent the call no longer knows its outcome";
                end(inquiry, new Fate.Final(new Outcome.InDoubt(detail)));
            }
            case Fate.Unknown unknown -> {
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
            end(inquiry, inquiry.known ? new Fate.Pending() : inquiry.unlessOthersKnow());
        }
    }

    private void endIfUnknown(Inquiry inquiry) {
        if (inquiry.directoryKnowsNone && inquiry.storeKnowsNone) {
            end(inquiry, inquiry.unlessOthersKnow());
        }
    }

    private void end(Inquiry inquiry, Fate fate) {
        byKey.remove(inquiry.key);
        byTicket.values().remove(inquiry);
        inquiry.tickets.forEach(ticket -> out.accept(new HostAction.TellFate(ticket, fate)));
    }

    private boolean lives(RequestId request) {
        EntryHost host = world.hosts().get(request.host());
        return host != null
                && host.state() != EntryHost.State.DEAD
                && host.incarnation() == request.incarnation();
    }

    private void send(HostId to, RequestMessage message) {
        out.accept(new HostAction.SendRequest(to, message));
    }
}
