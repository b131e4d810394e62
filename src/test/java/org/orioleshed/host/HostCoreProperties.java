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
 * Properties of three {@link HostCore}s under generated sequences of message deliveries, faults and
 * clock ticks. Each number is one step; {@link Invariants} are checked after each.
 */
class HostCoreProperties {
    private static final int STEPS = 200;
    private static final List<Tier> TIERS = List.of(Tier.URGENT, Tier.STANDARD, Tier.PATIENT);

    @Property(tries = 1_000, seed = "4", shrinking = ShrinkingMode.BOUNDED)
    void invariantsHoldUnderFaults(
            @ForAll @Size(STEPS) List<@IntRange(min = 0, max = 1 << 24) Integer> steps) {
        FakeFleet fleet = new FakeFleet(steps.getFirst());
        steps.forEach(step -> step(fleet, step % 100, step / 100));
        checkEnd(fleet);
    }

    /** Hosts own several servers, pause for seconds, are drained and restarted. */
    @Property(tries = 1_000, seed = "6", shrinking = ShrinkingMode.BOUNDED)
    void invariantsHoldWhileHostsPauseAndDrain(
            @ForAll @Size(STEPS) List<@IntRange(min = 0, max = 1 << 24) Integer> steps) {
        FakeFleet fleet = new FakeFleet(steps.getFirst());
        for (int i = 3; i <= 6; i++) {
            Target letters = new Target.Model(new ModelId("letters"));
            fleet.addServer("m" + i, FakeFleet.DOMAINS.get(i % 2), letters, "v1", true);
        }
        fleet.publishFleet(Set.of());
        for (int step : steps) {
            int kind = step % 100;
            int choice = step / 100;
            if (kind < 90) {
                step(fleet, kind, choice);
            } else {
                pauseOrDrain(fleet, kind, choice);
            }
        }
        checkEnd(fleet);
    }

    private static void pauseOrDrain(FakeFleet fleet, int kind, int choice) {
        Node node = fleet.nodes.get(choice % fleet.nodes.size());
        int remainder = choice / fleet.nodes.size();
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
            default -> injectFault(fleet, kind, node, remainder);
        }
    }

    private static void checkEnd(FakeFleet fleet) {
        endFaults(fleet);
        fleet.finish();
        fleet.tick(60_000);
        fleet.finish();
        fleet.invariants.checkAllAnswered();
        for (Node node : fleet.nodes) {
            if (node.core.requests() != 0) {
                throw new AssertionError("requests left on " + node.id);
            }
        }
    }

    /** Executes one step; {@code choice} selects its target. */
    private static void step(FakeFleet fleet, int kind, int choice) {
        Node node = fleet.nodes.get(choice % fleet.nodes.size());
        int remainder = choice / fleet.nodes.size();
        if (kind < 35) {
            deliver(fleet, kind, remainder);
        } else if (kind < 45) {
            sendRequest(fleet, node, remainder);
        } else if (kind < 57) {
            stepEngine(fleet, remainder);
        } else if (kind < 67) {
            answerStore(fleet, remainder);
        } else if (kind < 75) {
            endCall(fleet, remainder);
        } else if (kind < 90) {
            fleet.tick(new int[] {1, 20, 20, 100, 600, 3_000}[remainder % 6]);
        } else {
            injectFault(fleet, kind, node, remainder);
        }
    }

    private static void deliver(FakeFleet fleet, int kind, int remainder) {
        if (fleet.inFlight.isEmpty()) {
            return;
        }
        int index = remainder % fleet.inFlight.size();
        FakeFleet.Delivery chosen = fleet.inFlight.get(index);
        boolean isLink = FakeFleet.isLink(chosen.event());
        if (chosen.to().paused) {
            return;
        }
        if (kind < 20) {
            FakeFleet.Delivery first = fleet.inFlight.getFirst();
            if (!first.to().paused) {
                fleet.deliver(0);
            }
        } else if (!isLink) {
            return;
        } else if (kind < 28) {
            fleet.deliver(index);
        } else if (kind < 32) {
            fleet.deliver(chosen);
        } else {
            fleet.inFlight.remove(index);
        }
    }

    private static void sendRequest(FakeFleet fleet, Node node, int remainder) {
        if (!node.up || node.paused) {
            return;
        }
        String key = "k" + remainder % 5;
        int workKind = remainder / 5 % 5;
        long deadlineMillis = new long[] {200, 2_000, 10_000, 30_000}[remainder / 25 % 4];
        if (workKind < 3) {
            Tier tier = TIERS.get(remainder / 100 % 3);
            fleet.send(node, fleet.generate(node, "m" + key, "m" + key, tier, deadlineMillis));
        } else {
            boolean repeatable = workKind == 4;
            fleet.send(
                    node,
                    fleet.call(node, (repeatable ? "l" : "h") + key, repeatable, deadlineMillis));
        }
    }

    private static void stepEngine(FakeFleet fleet, int remainder) {
        if (!fleet.engines.live.isEmpty()) {
            fleet.stepEngine(remainder % fleet.engines.live.size());
        }
    }

    private static void answerStore(FakeFleet fleet, int remainder) {
        if (!fleet.storeCalls.isEmpty()) {
            int fault = remainder % 7 < 5 ? 0 : remainder % 7 - 4;
            fleet.answerStore(remainder / 7 % fleet.storeCalls.size(), fault);
        }
    }

    private static void endCall(FakeFleet fleet, int remainder) {
        if (!fleet.calls.isEmpty()) {
            int ending = remainder % 7 < 4 ? 0 : remainder % 7 - 3;
            fleet.endCall(remainder / 7 % fleet.calls.size(), ending);
        }
    }

    private static void injectFault(FakeFleet fleet, int kind, Node node, int remainder) {
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
                    boolean unreachable = (remainder >> i & 1) == 1 && other != node;
                    if (!other.up || unreachable) {
                        missing.add(other.id);
                    }
                }
                fleet.feed(node, new HostEvent.FleetChanged(fleet.snapshot(missing)));
            }
            case 98 -> callerLeaves(fleet, remainder);
            default -> breakRun(fleet, remainder);
        }
    }

    private static void callerLeaves(FakeFleet fleet, int remainder) {
        List<RequestId> waiting = fleet.invariants.waiting();
        if (!waiting.isEmpty()) {
            RequestId id = waiting.get(remainder % waiting.size());
            Node at = fleet.nodes.stream().filter(n -> n.id.equals(id.host())).findFirst().get();
            if (at.up && !at.paused) {
                fleet.invariants.callerLeft(id);
                fleet.feed(at, new HostEvent.CallerGone(id));
            }
        }
    }

    private static void breakRun(FakeFleet fleet, int remainder) {
        if (remainder % 3 == 0) {
            ServerId server = new ServerId(remainder / 3 % 2 == 0 ? "m1" : "m2");
            fleet.engines.crash(server).forEach(run -> fleet.breakRun(run, true, true));
        } else if (!fleet.engines.live.isEmpty()) {
            int index = remainder / 3 % fleet.engines.live.size();
            fleet.breakRun(
                    List.copyOf(fleet.engines.live.keySet()).get(index), false, remainder % 3 == 1);
        }
    }

    /** Ends all faults: resumes and restarts hosts, and publishes the full fleet. */
    static void endFaults(FakeFleet fleet) {
        for (Node node : fleet.nodes) {
            node.paused = false;
            if (!node.up) {
                fleet.restart(node);
            }
        }
        fleet.publishFleet(Set.of());
    }

    /** Without faults, every caller gets the same outcome as from a naive host. */
    @Property(tries = 100, seed = "5", shrinking = ShrinkingMode.BOUNDED)
    void answersLikeTheNaiveHostWithoutFaults(
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
            naive.expect(id, fleet.invariants.request(id));
            if (step % 4 == 0) {
                fleet.settle();
                fleet.tick(20);
            }
        }
        fleet.finish();
        naive.check(fleet);
    }
}
