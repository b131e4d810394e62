package org.orioleshed.load;

import java.util.List;
import java.util.stream.Stream;
import org.orioleshed.load.Traffic.Ask;

/**
 * A deployment: those of the users are at the size of today, in the time scale of the stand-ins.
 *
 * @param id its name on the command line
 * @param domains its failure domains
 * @param hosts the number of entry hosts
 * @param engines the number of model engines
 * @param services the number of servers of the plain service
 * @param serviceRoute the plain service's name, and its route's
 * @param workspaces the workspaces
 * @param mix the requests at full load
 * @param costless whether engines take no time at all
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

    /** One entry host and one engine that takes no time, to measure what the host adds. */
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

    /** Returns the deployment with this id. */
    static Deployment named(String id) {
        return Stream.of(ASSOCIATION, OFFICE, SINGLE)
                .filter(deployment -> deployment.id().equals(id))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no deployment is named " + id));
    }

    /** Returns the model that all text routes use. */
    String model() {
        return MODEL;
    }

    /** Returns the failure domain of the host or server with this number. */
    String domain(int number) {
        return domains.get(number % domains.size());
    }

    /** Returns the name of the member of a failure domain with this number, from 1 on. */
    String member(String kind, int number) {
        return domain(number) + "-" + kind + (number / domains.size() + 1);
    }

    /** Returns the bearer key of a workspace. */
    static String bearerKey(String workspace) {
        return "key-of-" + workspace;
    }

    private static List<Traffic> associationMix() {
        Ask reply = new Ask.Text(256, new Sizes(30, 0.6, 8, 300), new Sizes(12, 0.7, 2, 80));
        Ask letter = new Ask.Text(384, new Sizes(120, 1.0, 20, 3_000), new Sizes(40, 0.9, 4, 250));
        Ask summary = new Ask.Text(192, new Sizes(300, 0.9, 40, 4_000), new Sizes(40, 0.9, 4, 250));
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
        Ask answer = new Ask.Text(320, new Sizes(40, 0.7, 8, 400), new Sizes(16, 0.7, 2, 100));
        Ask letter = new Ask.Text(448, new Sizes(150, 1.0, 20, 3_000), new Sizes(50, 0.9, 5, 250));
        Ask sorting = new Ask.Text(256, new Sizes(400, 0.8, 40, 4_000), new Sizes(8, 0.6, 2, 40));
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
            String route, String call, boolean repeatable, double perSecond, List<String> from) {
        return new Traffic(route, "urgent", perSecond, from, 5_000, new Ask.Call(call, repeatable));
    }
}
