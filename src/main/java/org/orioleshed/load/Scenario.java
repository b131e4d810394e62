package org.orioleshed.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * An experiment: how much load, and what goes wrong when.
 *
 * @param name its name on the command line
 * @param summary one line for the list
 * @param load for each tier, the rate as a share of the deployment's full load
 * @param newVersion whether engines of a new version stand beside the old ones
 * @param steps what happens
 */
record Scenario(
        String name,
        String summary,
        Map<String, Double> load,
        boolean newVersion,
        List<Step> steps) {
    private static final Map<String, Double> STEADY = load(0.6, 0.6, 0.6);
    private static final Map<String, Double> BUSY = load(0.8, 0.8, 0.8);
    private static final int SUVA_B_HOST = 1;
    private static final double COMPLETE_BY = 0.9;
    private static final double LATER = 0.4;

    private static final List<Scenario> ALL =
            List.of(
                    new Scenario("steady", "the usual mix", STEADY, false, List.of()),
                    new Scenario(
                            "overload",
                            "about twice the capacity, mostly lower tiers",
                            load(1, 2, 3),
                            false,
                            List.of()),
                    new Scenario(
                            "slow-engine",
                            "two engines fall to a fifth of their speed, reports come late",
                            load(0.8, 0.8, 0.8),
                            false,
                            List.of(
                                    new Step.EngineFaults(
                                            0.2,
                                            List.of(1, 5),
                                            "{\"speedFactor\":0.2,\"loadLagMillis\":10000}"))),
                    new Scenario(
                            "entry-host-dies",
                            "an entry host is killed and later started again",
                            STEADY,
                            false,
                            List.of(
                                    new Step.Processes(0.4, "kill", SUVA_B_HOST),
                                    new Step.Processes(0.7, "start", SUVA_B_HOST))),
                    new Scenario(
                            "rolling-restart",
                            "every entry host is asked to stop and started again in turn",
                            STEADY,
                            false,
                            List.of(new Step.Processes(0.1, "restart", -1))),
                    new Scenario(
                            "store-outage",
                            "the platform's store is down for half of the time",
                            STEADY,
                            false,
                            List.of(
                                    new Step.StoreFaults(0.25, "{\"down\":true}"),
                                    new Step.StoreFaults(0.75, "{}"))),
                    new Scenario(
                            "settings-spread",
                            "four operators change settings at once, at several hosts",
                            STEADY,
                            false,
                            List.of(new Step.Operators(0.1, 0.9, 4))),
                    new Scenario(
                            "good-version",
                            "a move to a good new version",
                            BUSY,
                            true,
                            List.of(new Step.Rollout(0, COMPLETE_BY))),
                    new Scenario(
                            "bad-version",
                            "a move to a bad new version, with --fault KIND",
                            BUSY,
                            true,
                            List.of(new Step.Rollout(0, COMPLETE_BY))));

    static List<Scenario> all() {
        return ALL;
    }

    static Scenario named(String name) {
        return ALL.stream()
                .filter(scenario -> scenario.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no scenario is named " + name));
    }

    /** Returns the mix of a deployment at this scenario's load. */
    List<Traffic> mix(Deployment deployment) {
        return deployment.mix().stream()
                .map(traffic -> traffic.withRate(load.get(traffic.tier())))
                .toList();
    }

    /** Returns this scenario with the faults of the new version added. */
    Scenario withFault(VersionFault fault, Deployment deployment) {
        double at = fault == VersionFault.LATER ? LATER : 0;
        List<Step> all = new ArrayList<>(steps);
        all.addFirst(new Step.EngineFaults(at, newEngines(deployment), fault.faults));
        return new Scenario(name, summary + ": " + fault.id(), load, newVersion, all);
    }

    /** Returns whether a move to a bad version is part of it. */
    boolean bad() {
        return name.equals("bad-version");
    }

    /** Returns the numbers of a deployment's engines of the new version. */
    private static List<Integer> newEngines(Deployment deployment) {
        return IntStream.range(deployment.engines(), 2 * deployment.engines()).boxed().toList();
    }

    private static Map<String, Double> load(double urgent, double standard, double patient) {
        return Map.of("urgent", urgent, "standard", standard, "patient", patient);
    }
}
