package org.orioleshed.load;

import java.util.List;
import java.util.stream.Stream;
import org.orioleshed.load.Traffic.Payload;

/**
 * A deployment. {@link #ASSOCIATION} and {@link #OFFICE} have the size of the users' current
 * deployments, in the time scale of the stand-ins.
 *
 * @param id the name on the command line
 * @param domains the failure domains
 * @param hosts the number of entry hosts
 * @param engines the number of model engines
 * @param services the number of servers of the plain service
 * @param serviceRoute the name of the plain service and of its route
 * @param workspaces the workspaces
 * @param mix the kinds of requests, with their rates at full load
 * @param costless whether engines compute in zero time
 */
record Deployment(
        String id,
        List<String> domains,
        int hosts,
        int engines,
        int services,
        String serviceRoute,
        List<String> workspaces,
        List<Traffic> mix,
        boolean costless) {
    static final Deployment ASSOCIATION =
            new Deployment(
                    "association",
                    List.of("suva-a", "suva-b", "nausori", "navua"),
                    8,
                    13,
                    4,
                    "bookings",
                    List.of("stewards", "clerks", "reviews", "marina", "guides"),
                    associationMix(),
                    false);
    static final Deployment OFFICE =
            new Deployment(
                    "office",
                    List.of("north-a", "north-b", "north-c"),
                    7,
                    13,
                    3,
                    "renewals",
                    List.of("hotline", "counter", "letters-desk", "scans", "archive"),
                    officeMix(),
                    false);

    /** One entry host and one zero-time engine, to measure the latency that the host adds. */
    static final Deployment SINGLE =
            new Deployment(
                    "single",
                    List.of("only"),
                    1,
                    1,
                    1,
                    "bookings",
                    List.of("stewards", "clerks", "reviews", "marina", "guides"),
                    associationMix(),
                    true);

    private static final String MODEL = "letters";

    /**
     * Returns the deployment with this id.
     *
     * @throws IllegalArgumentException if there is none
     */
    static Deployment byId(String id) {
        return Stream.of(ASSOCIATION, OFFICE, SINGLE)
                .filter(deployment -> deployment.id().equals(id))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "unknown deployment "
                                                + id
                                                + "; allowed: association, office, single"));
    }

    /** Returns the model of all text routes. */
    String model() {
        return MODEL;
    }

    /** Returns the failure domain of the host or server with this index. */
    String domain(int index) {
        return domains.get(index % domains.size());
    }

    /**
     * Returns the name of the host or server with this index; names count from 1 in each domain.
     */
    String memberName(String kind, int index) {
        return domain(index) + "-" + kind + (index / domains.size() + 1);
    }

    /** Returns the bearer key of a workspace. */
    static String bearerKey(String workspace) {
        return "key-of-" + workspace;
    }

    private static List<Traffic> associationMix() {
        Payload reply =
                new Payload.Text(256, new Sizes(30, 0.6, 8, 300), new Sizes(12, 0.7, 2, 80));
        Payload letter =
                new Payload.Text(384, new Sizes(120, 1.0, 20, 3_000), new Sizes(40, 0.9, 4, 250));
        Payload summary =
                new Payload.Text(192, new Sizes(300, 0.9, 40, 4_000), new Sizes(40, 0.9, 4, 250));
        List<String> stewards = List.of("stewards", "stewards", "marina");
        List<String> clerks = List.of("clerks", "clerks", "clerks", "guides", "marina");
        List<String> reviews = List.of("reviews", "reviews", "clerks");
        return List.of(
                new Traffic("gangway", "urgent", 25, stewards, 8_000, reply),
                new Traffic("letters", "standard", 25, clerks, 20_000, letter),
                new Traffic("summaries", "patient", 20, reviews, 25_000, summary),
                call("bookings", "hold", false, 3, clerks),
                call("bookings", "deposit", false, 1, clerks),
                call("bookings", "lookup", true, 4, stewards));
    }

    private static List<Traffic> officeMix() {
        Payload answer =
                new Payload.Text(320, new Sizes(40, 0.7, 8, 400), new Sizes(16, 0.7, 2, 100));
        Payload letter =
                new Payload.Text(448, new Sizes(150, 1.0, 20, 3_000), new Sizes(50, 0.9, 5, 250));
        Payload sorting =
                new Payload.Text(256, new Sizes(400, 0.8, 40, 4_000), new Sizes(8, 0.6, 2, 40));
        List<String> hotline = List.of("hotline", "hotline", "counter");
        List<String> counter = List.of("counter", "letters-desk", "letters-desk");
        List<String> scans = List.of("scans", "scans", "archive");
        return List.of(
                new Traffic("answers", "urgent", 20, hotline, 8_000, answer),
                new Traffic("renewal-letters", "standard", 22, counter, 20_000, letter),
                new Traffic("form-sorting", "patient", 30, scans, 25_000, sorting),
                call("renewals", "renew", false, 3, counter),
                call("renewals", "status", true, 5, hotline));
    }

    private static Traffic call(
            String route,
            String call,
            boolean repeatable,
            double perSecond,
            List<String> workspaces) {
        return new Traffic(
                route, "urgent", perSecond, workspaces, 5_000, new Payload.Call(call, repeatable));
    }
}
