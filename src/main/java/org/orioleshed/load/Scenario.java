package org.orioleshed.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * A scenario of an experiment: the load and the steps that inject faults or make changes.
 *
 * @param name the name on the command line
 * @param summary a one-line description
 * @param load the rate of each tier as a factor of the deployment's full load
 * @param newVersion whether engines of a new version are added
 * @param steps the steps of the scenario
 */
record Scenario(
        String name,
        String summary,
        Map<String, Double> load,
        boolean newVersion,
        List<Step> steps) {
    private static final Map<String, Double> STEADY = load(0.6, 0.6, 0.6);
    private static final Map<String, Double> BUSY = load(0.8, 0.8, 0.8);
    private static final int KILLED_HOST = 1;
    private static final double COMPLETE_BY_SHARE = 0.9;
    private static final double LATER_SHARE = 0.4;

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
                            "two engines slow down to a fifth of their speed and report late",
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
                                    new Step.Processes(0.4, "kill", KILLED_HOST),
                                    new Step.Processes(0.7, "start", KILLED_HOST))),
                    new Scenario(
                            "rolling-restart",
                            "every entry host is stopped gracefully and started again in turn",
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
                            "a rollout of a good new version",
                            BUSY,
                            true,
                            List.of(new Step.Rollout(0, COMPLETE_BY_SHARE))),
                    new Scenario(
                            "bad-version",
                            "a rollout of a bad new version, with --fault KIND",
                            BUSY,
                            true,
                            List.of(new Step.Rollout(0, COMPLETE_BY_SHARE))));

    static List<Scenario> all() {
        return ALL;
    }

    static Scenario byName(String name) {
        return ALL.stream()
                .filter(scenario -> scenario.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "unknown scenario "
                                                + name
                                                + "; the command scenarios lists them"));
    }

    /** Returns the mix of a deployment with the rates of this scenario. */
    List<Traffic> mix(Deployment deployment) {
        return deployment.mix().stream()
                .map(traffic -> traffic.withRate(load.get(traffic.tier())))
                .toList();
    }

    /** Returns a copy of this scenario with a fault added to the new version's engines. */
    Scenario withFault(VersionFault fault, Deployment deployment) {
        double at = fault == VersionFault.LATER ? LATER_SHARE : 0;
        List<Step> all = new ArrayList<>(steps);
        all.addFirst(new Step.EngineFaults(at, newEngines(deployment), fault.faults));
        return new Scenario(name, summary + ": " + fault.id(), load, newVersion, all);
    }

    /** Returns whether the scenario rolls out a bad version. */
    boolean hasBadVersion() {
        return name.equals("bad-version");
    }

    /** Returns the indexes of the engines of the new version. */
    private static List<Integer> newEngines(Deployment deployment) {
        return IntStream.range(deployment.engines(), 2 * deployment.engines()).boxed().toList();
    }

    private static Map<String, Double> load(double urgent, double standard, double patient) {
        return Map.of("urgent", urgent, "standard", standard, "patient", patient);
    }
}
