package org.orioleshed.host;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.orioleshed.fleet.Target;
import org.orioleshed.host.FakeFleet.Node;
import org.orioleshed.model.HostId;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.Tier;

/**
 * Properties of three {@link HostCore}s under chosen orders of messages, faults and time. Each
 * number of a sequence is one step; {@link Promises} are checked after each.
 */
class HostCoreProperties {
    private static final int STEPS = 200;
    private static final List<Tier> TIERS = List.of(Tier.URGENT, Tier.STANDARD, Tier.PATIENT);

    @Property(tries = 1_000, seed = "4", shrinking = ShrinkingMode.BOUNDED)
    void promisesHoldUnderFaults(
            @ForAll @Size(STEPS) List<@IntRange(min = 0, max = 1 << 24) Integer> steps) {
        FakeFleet fleet = new FakeFleet(steps.getFirst());
        steps.forEach(step -> step(fleet, step % 100, step / 100));
        checkEnd(fleet);
    }

    /** Hosts are owners of several servers, stand still for seconds, are drained and restarted. */
    @Property(tries = 1_000, seed = "6", shrinking = ShrinkingMode.BOUNDED)
    void promisesHoldWhileHostsStandStillAndLeave(
            @ForAll @Size(STEPS) List<@IntRange(min = 0, max = 1 << 24) Integer> steps) {
        FakeFleet fleet = new FakeFleet(steps.getFirst());
        for (int i = 3; i <= 6; i++) {
            Target letters = new Target.Model(new ModelId("letters"));
            fleet.addServer("m" + i, FakeFleet.DOMAINS.get(i % 2), letters, "v1", true);
        }
        fleet.publishFleet(Set.of());
        for (int step : steps) {
            int kind = step % 100;
            int dice = step / 100;
            if (kind < 90) {
                step(fleet, kind, dice);
            } else {
                standStillOrLeave(fleet, kind, dice);
            }
        }
        checkEnd(fleet);
    }

    private static void standStillOrLeave(FakeFleet fleet, int kind, int dice) {
        Node node = fleet.nodes.get(dice % fleet.nodes.size());
        int rest = dice / fleet.nodes.size();
        switch (kind) {
            case 90, 91 -> node.paused = true;
            case 92, 93 -> node.paused = false;
            case 94 -> fleet.feed(node, new HostEvent.DrainRequested());
            case 95 -> {
                if (node.up) {
                    fleet.crash(node);
                }
                fleet.restart(node);
            }
            default -> fail(fleet, kind, node, rest);
        }
    }

    private static void checkEnd(FakeFleet fleet) {
        heal(fleet);
        fleet.finish();
        fleet.tick(60_000);
        fleet.finish();
        fleet.promises.checkAllAnswered();
        for (Node node : fleet.nodes) {
            if (node.core.requests() != 0) {
                throw new AssertionError("requests left on " + node.id);
            }
        }
    }

    /** Does one step; {@code dice} chooses what it strikes. */
    private static void step(FakeFleet fleet, int kind, int dice) {
        Node node = fleet.nodes.get(dice % fleet.nodes.size());
        int rest = dice / fleet.nodes.size();
        if (kind < 35) {
            deliver(fleet, kind, rest);
        } else if (kind < 45) {
            arrive(fleet, node, rest);
        } else if (kind < 57) {
            stepEngine(fleet, rest);
        } else if (kind < 67) {
            answerStore(fleet, rest);
        } else if (kind < 75) {
            endCall(fleet, rest);
        } else if (kind < 90) {
            fleet.tick(new int[] {1, 20, 20, 100, 600, 3_000}[rest % 6]);
        } else {
            fail(fleet, kind, node, rest);
        }
    }

    private static void deliver(FakeFleet fleet, int kind, int rest) {
        if (fleet.underWay.isEmpty()) {
            return;
        }
        int any = rest % fleet.underWay.size();
        FakeFleet.Delivery chosen = fleet.underWay.get(any);
        boolean link = FakeFleet.isLink(chosen.event());
        if (chosen.to().paused) {
            return;
        }
        if (kind < 20) {
            FakeFleet.Delivery first = fleet.underWay.getFirst();
            if (!first.to().paused) {
                fleet.deliver(0);
            }
        } else if (!link) {
            return;
        } else if (kind < 28) {
            fleet.deliver(any);
        } else if (kind < 32) {
            fleet.deliver(chosen);
        } else {
            fleet.underWay.remove(any);
        }
    }

    private static void arrive(FakeFleet fleet, Node node, int rest) {
        if (!node.up || node.paused) {
            return;
        }
        String key = "k" + rest % 5;
        int what = rest / 5 % 5;
        long deadline = new long[] {200, 2_000, 10_000, 30_000}[rest / 25 % 4];
        if (what < 3) {
            Tier tier = TIERS.get(rest / 100 % 3);
            fleet.send(node, fleet.generate(node, "m" + key, "m" + key, tier, deadline));
        } else {
            boolean repeatable = what == 4;
            fleet.send(
                    node, fleet.call(node, (repeatable ? "l" : "h") + key, repeatable, deadline));
        }
    }

    private static void stepEngine(FakeFleet fleet, int rest) {
        if (!fleet.engines.live.isEmpty()) {
            fleet.stepEngine(rest % fleet.engines.live.size());
        }
    }

    private static void answerStore(FakeFleet fleet, int rest) {
        if (!fleet.storeCalls.isEmpty()) {
            int fault = rest % 7 < 5 ? 0 : rest % 7 - 4;
            fleet.answerStore(rest / 7 % fleet.storeCalls.size(), fault);
        }
    }

    private static void endCall(FakeFleet fleet, int rest) {
        if (!fleet.calls.isEmpty()) {
            int how = rest % 7 < 4 ? 0 : rest % 7 - 3;
            fleet.endCall(rest / 7 % fleet.calls.size(), how);
        }
    }

    private static void fail(FakeFleet fleet, int kind, Node node, int rest) {
        switch (kind) {
            case 90, 91 -> {
                if (node.up) {
                    fleet.crash(node);
                }
            }
            case 92, 93 -> {
                if (!node.up) {
                    fleet.restart(node);
                }
            }
            case 94 -> node.paused = node.up;
            case 95 -> node.paused = false;
            case 96, 97 -> {
                Set<HostId> missing = new HashSet<>();
                for (int i = 0; i < fleet.nodes.size(); i++) {
                    Node other = fleet.nodes.get(i);
                    boolean cut = (rest >> i & 1) == 1 && other != node;
                    if (!other.up || cut) {
                        missing.add(other.id);
                    }
                }
                fleet.feed(node, new HostEvent.FleetChanged(fleet.snapshot(missing)));
            }
            case 98 -> leave(fleet, rest);
            default -> breakRun(fleet, rest);
        }
    }

    private static void leave(FakeFleet fleet, int rest) {
        List<RequestId> waiting = fleet.promises.waiting();
        if (!waiting.isEmpty()) {
            RequestId id = waiting.get(rest % waiting.size());
            Node at = fleet.nodes.stream().filter(n -> n.id.equals(id.host())).findFirst().get();
            if (at.up && !at.paused) {
                fleet.promises.left(id);
                fleet.feed(at, new HostEvent.CallerGone(id));
            }
        }
    }

    private static void breakRun(FakeFleet fleet, int rest) {
        if (rest % 3 == 0) {
            ServerId server = new ServerId(rest / 3 % 2 == 0 ? "m1" : "m2");
            fleet.engines.crash(server).forEach(run -> fleet.breakRun(run, true, true));
        } else if (!fleet.engines.live.isEmpty()) {
            int index = rest / 3 % fleet.engines.live.size();
            fleet.breakRun(
                    List.copyOf(fleet.engines.live.keySet()).get(index), false, rest % 3 == 1);
        }
    }

    /** Ends all faults. */
    static void heal(FakeFleet fleet) {
        for (Node node : fleet.nodes) {
            node.paused = false;
            if (!node.up) {
                fleet.restart(node);
            }
        }
        fleet.publishFleet(Set.of());
    }

    /** Without faults the cores give every caller what a naive host gives. */
    @Property(tries = 100, seed = "5", shrinking = ShrinkingMode.BOUNDED)
    void answersAsTheNaiveHostDoesWithoutFaults(
            @ForAll @Size(40) List<@IntRange(min = 0, max = 1 << 24) Integer> steps) {
        FakeFleet fleet = new FakeFleet(steps.getFirst());
        NaiveReference naive = new NaiveReference();
        for (int step : steps) {
            Node node = fleet.nodes.get(step % 3);
            String key = "k" + step;
            boolean model = step % 2 == 0;
            RequestId id =
                    fleet.send(
                            node,
                            model
                                    ? fleet.generate(node, key, key, Tier.URGENT, 60_000)
                                    : fleet.call(node, key, step % 5 == 0, 60_000));
            naive.expect(id, fleet.promises.request(id));
            if (step % 4 == 0) {
                fleet.settle();
                fleet.tick(20);
            }
        }
        fleet.finish();
        naive.check(fleet);
    }
}
