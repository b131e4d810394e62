package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.orioleshed.catalog.CatalogSnapshot;
import org.orioleshed.catalog.PoolServer;
import org.orioleshed.dispatch.Ask;
import org.orioleshed.dispatch.DispatchAction;
import org.orioleshed.dispatch.MovePolicy;
import org.orioleshed.dispatch.Quotas;
import org.orioleshed.dispatch.RunKey;
import org.orioleshed.membership.Member;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.RouteId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.peer.PeerPort;

/** Two hosts' views and dispatchers over a network in memory, on a stepped clock. */
final class TwoHosts {
    static final ServiceId SERVICE = new ServiceId("s");
    private static final FailureDomain DOMAIN = new FailureDomain("d");
    private static final long STEP_NANOS = 20_000_000;
    private static final int FLEET_STEPS = 5;

    final Host a = new Host("10.0.0.1", 1_000);
    final Host b = new Host("10.0.0.2", 2_000);
    private final Deque<Letter> letters = new ArrayDeque<>();
    private long nowNanos = 1_000_000_000L;
    private boolean cut;
    private int steps;

    private record Letter(HostId from, HostId to, MessageKind kind, Payload body) {}

    /** One host, which notes what its requests get. */
    final class Host implements PeerPort, FleetView.Listener, Dispatcher.PlacementListener {
        final HostId id;
        final InetSocketAddress address;
        final FleetView fleet;
        final Dispatcher dispatcher;
        final List<String> told = new ArrayList<>();
        boolean dead;

        Host(String ip, long incarnation) {
            id = new HostId(ip);
            address = new InetSocketAddress(ip, 7_600);
            Member member =
                    new Member(id, DOMAIN, address, incarnation, 0, false, Member.Health.ALIVE);
            fleet = new FleetView(member, this, new SplittableRandom(1), () -> nowNanos, this);
            dispatcher =
                    new Dispatcher(
                            id,
                            this,
                            fleet,
                            Quotas.Slack.NONE,
                            MovePolicy.DEFAULT,
                            () -> nowNanos,
                            line -> {});
        }

        @Override
        public void know(HostId host, InetSocketAddress where) {}

        @Override
        public boolean send(HostId to, MessageKind kind, byte[] body) {
            letters.add(new Letter(id, to, kind, Payload.of(body)));
            return true;
        }

        @Override
        public void fleetChanged() {
            dispatcher.fleetChanged();
        }

        @Override
        public void hostDied(HostId host) {
            dispatcher.hostDied(host);
        }

        @Override
        public void granted(RunKey run, ServerId server, String why) {
            told.add(run.number() + " " + server + " " + why.split(" ", 2)[0]);
        }

        @Override
        public void refused(RunKey run, DispatchAction.Reason reason, long retryAfterMillis) {
            told.add(run.number() + " " + reason);
        }

        void ask(long number) {
            Ask ask =
                    new Ask(
                            SERVICE,
                            new RouteId("r"),
                            Optional.empty(),
                            DOMAIN,
                            0,
                            600,
                            10_000,
                            100,
                            100,
                            0,
                            0,
                            Set.of());
            dispatcher.place(key(number), ask, this);
        }

        RunKey key(long number) {
            return new RunKey(id, number);
        }
    }

    /** Makes both hosts know a server and each other. */
    TwoHosts(int slots) {
        PoolServer server =
                new PoolServer(
                        new ServerId("x"),
                        SERVICE,
                        new InetSocketAddress("10.0.1.1", 80),
                        DOMAIN,
                        new VersionId("v"),
                        slots,
                        false,
                        1);
        CatalogSnapshot snapshot =
                new CatalogSnapshot(
                        0,
                        Payload.EMPTY,
                        Optional.empty(),
                        1,
                        List.of(),
                        List.of(server),
                        List.of());
        for (Host host : List.of(a, b)) {
            host.dispatcher.changed(snapshot);
            host.dispatcher.fleetChanged();
        }
        b.fleet.seed(List.of(a.address));
        run(3_000);
    }

    void cut(boolean mark) {
        cut = mark;
    }

    /** Lets time pass and messages arrive. */
    void run(long millis) {
        long end = nowNanos + millis * 1_000_000;
        while (nowNanos < end) {
            step();
        }
    }

    private void step() {
        nowNanos += STEP_NANOS;
        steps++;
        for (Host host : List.of(a, b)) {
            if (!host.dead) {
                host.dispatcher.tick();
                if (steps % FLEET_STEPS == 0) {
                    host.fleet.tick();
                }
            }
        }
        deliver();
    }

    /** Delivers what is under way, at once. */
    void deliver() {
        while (!letters.isEmpty()) {
            Letter letter = letters.poll();
            Host to = letter.to().equals(a.id) ? a : b;
            if (!cut && !to.dead) {
                open(letter, to);
            }
        }
    }

    private static void open(Letter letter, Host to) {
        try {
            if (letter.kind() == MessageKind.MEMBERSHIP) {
                to.fleet.received(letter.from(), letter.body().toBytes());
            } else {
                to.dispatcher.received(letter.from(), letter.body().toBytes());
            }
        } catch (BadMessageException e) {
            throw new IllegalStateException(e);
        }
    }
}
