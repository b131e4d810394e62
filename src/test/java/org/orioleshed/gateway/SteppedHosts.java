package org.orioleshed.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.orioleshed.catalog.PlainDecoder;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.model.ServerId;
import org.orioleshed.peer.BadMessageException;
import org.orioleshed.peer.MessageKind;
import org.orioleshed.store.Store;

/**
 * Hosts' views, catalogs and dispatchers over a network and a store in memory, on a stepped clock.
 * The network loses, repeats and reorders as it is told.
 */
final class SteppedHosts {
    static final long STEP_NANOS = 20_000_000;
    private static final int FLEET_STEPS = 5;

    final List<SteppedHost> hosts = new ArrayList<>();
    private final List<SteppedHost> retired = new ArrayList<>();
    private final SplittableRandom random;
    private final PlainDecoder decoder;
    private final List<Letter> letters = new ArrayList<>();
    private final Map<String, Store.Entry> store = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<ServerId, Double> limits = new HashMap<>();
    private long nowNanos = 1_000_000_000L;
    private long incarnations = 1_000;
    private int cutOff;
    private double lossPart;
    private double repeatPart;
    private long mostDelayNanos;
    private int steps;

    /** What a host hears of a change in the store; a value is empty where a key is removed. */
    record Event(String key, Optional<Payload> value, long revision) {}

    private record Letter(HostId from, HostId to, MessageKind kind, Payload body, long dueNanos) {}

    /**
     * Starts hosts that know each other.
     *
     * @param slots what each server runs at once
     */
    SteppedHosts(int count, int slots, long seed) {
        random = new SplittableRandom(seed);
        decoder = new PlainDecoder(slots);
        for (int i = 0; i < count; i++) {
            hosts.add(host(i));
        }
        hosts.forEach(SteppedHost::begin);
    }

    /** Returns two hosts before one server, which have found each other. */
    static SteppedHosts two(int slots) {
        SteppedHosts two = new SteppedHosts(2, slots, 1);
        two.put("op/config", "1");
        two.put("servers/x", "open");
        two.run(3_000);
        return two;
    }

    private SteppedHost host(int number) {
        FailureDomain domain = new FailureDomain("d" + number % 2);
        incarnations += 1_000;
        return new SteppedHost(this, address(number), domain, incarnations, random.split());
    }

    private static InetSocketAddress address(int number) {
        return new InetSocketAddress("10.0.0." + (number + 1), 7_600);
    }

    List<InetSocketAddress> addresses() {
        return hosts.stream().map(host -> host.address).toList();
    }

    PlainDecoder decoder() {
        return decoder;
    }

    long nowNanos() {
        return nowNanos;
    }

    SteppedHost get(int number) {
        return hosts.get(number);
    }

    /** Returns all requests that went to servers, of hosts that are gone, too, in order of time. */
    List<SteppedHost.Sent> sent() {
        return Stream.concat(retired.stream(), hosts.stream())
                .flatMap(host -> host.sent.stream())
                .sorted(Comparator.comparingLong(SteppedHost.Sent::atNanos))
                .toList();
    }

    /** Stops a host without a word. */
    void kill(int number) {
        get(number).dead = true;
    }

    /** Starts a host anew, which knows nothing. */
    void restart(int number) {
        retired.add(get(number));
        SteppedHost fresh = host(number);
        hosts.set(number, fresh);
        fresh.begin();
    }

    /** Lets the hosts below a number, and the others, reach their like only; 0 ends that. */
    void cutOff(int number) {
        cutOff = number;
    }

    /**
     * Sets what the network does to messages.
     *
     * @param loss the part that is lost, from 0 to 1
     * @param repeat the part that comes twice, from 0 to 1
     * @param delayMillis the most that one takes, in milliseconds; they overtake each other
     */
    void weather(double loss, double repeat, long delayMillis) {
        lossPart = loss;
        repeatPart = repeat;
        mostDelayNanos = delayMillis * 1_000_000;
    }

    /** Has a server name how many requests a second it takes. */
    void limit(String server, double perSecond) {
        limits.put(new ServerId(server), perSecond);
    }

    /** Returns what a server's answers say of how many requests it takes. */
    StatedLimit limitOf(ServerId server) {
        Double perSecond = limits.get(server);
        return perSecond == null ? StatedLimit.NONE : new StatedLimit.Rate(perSecond);
    }

    /** Writes a key of the store. */
    void put(String key, String value) {
        Store.Entry entry = new Store.Entry(key, Payload.of(value), history.size() + 1L);
        store.put(key, entry);
        history.add(new Event(key, Optional.of(entry.value()), entry.revision()));
    }

    /** Removes a key of the store. */
    void remove(String key) {
        if (store.remove(key) != null) {
            history.add(new Event(key, Optional.empty(), history.size() + 1L));
        }
    }

    /** Returns the store's entries. */
    List<Store.Entry> entries() {
        return List.copyOf(store.values());
    }

    /** Returns what changed in the store after a revision. */
    List<Event> changedAfter(long revision) {
        return history.subList((int) revision, history.size());
    }

    long storeRevision() {
        return history.size();
    }

    void post(HostId from, HostId to, MessageKind kind, byte[] body) {
        if (random.nextDouble() >= lossPart) {
            enqueue(from, to, kind, body);
        }
        if (random.nextDouble() < repeatPart) {
            enqueue(from, to, kind, body);
        }
    }

    private void enqueue(HostId from, HostId to, MessageKind kind, byte[] body) {
        long delayNanos = mostDelayNanos == 0 ? 0 : random.nextLong(mostDelayNanos);
        letters.add(new Letter(from, to, kind, Payload.of(body), nowNanos + delayNanos));
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
        for (SteppedHost host : List.copyOf(hosts)) {
            if (!host.dead) {
                host.step(steps % FLEET_STEPS == 0);
            }
        }
        deliver();
    }

    /** Delivers what is due, and what that brings about at once. */
    void deliver() {
        for (Optional<Letter> next = next(); next.isPresent(); next = next()) {
            letters.remove(next.get());
            open(next.get());
        }
    }

    private Optional<Letter> next() {
        return letters.stream().filter(letter -> letter.dueNanos() <= nowNanos).findFirst();
    }

    private void open(Letter letter) {
        SteppedHost to = byId(letter.to());
        SteppedHost from = byId(letter.from());
        boolean parted = (hosts.indexOf(to) < cutOff) != (hosts.indexOf(from) < cutOff);
        if (parted || to.dead) {
            return;
        }
        try {
            to.received(letter.from(), letter.kind(), letter.body().toBytes());
        } catch (BadMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private SteppedHost byId(HostId id) {
        return hosts.stream().filter(host -> host.id.equals(id)).findFirst().orElseThrow();
    }
}
