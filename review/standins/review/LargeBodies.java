package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * The requesters of a zone that has one machine send bodies well below the manifest's limit. Beside
 * them, others send small requests on kept channels.
 */
final class LargeBodies {
    private static final int LARGE_BYTES = 2_500_000;
    private static final int USUAL_BYTES = 12_000;
    private static final int LARGE_REQUESTERS = 27;
    private static final int SMALL_REQUESTERS = 10;
    private static final double TRAFFIC_SECONDS = 70;
    private static final int LETTER_TIMEOUT_MILLIS = 6_000;
    private static final int ISSUE_TIMEOUT_MILLIS = 800;

    /** From so many requests without a final answer on, and above a quarter, the rule is broken. */
    private static final int MIN_UNANSWERED = 8;

    private static volatile boolean over;

    public static void main(String[] arguments) throws Exception {
        try (Desk desk = new Desk(Path.of(arguments[0]))) {
            System.exit(run(desk));
        }
    }

    private static int run(Desk desk) throws Exception {
        for (int i = 0; i < 6; i++) {
            String zone = "north-" + "abc".charAt(i % 3);
            desk.addWorker("w-core-" + i, "pass-core", zone, 6).works(30);
            desk.addWorker("w-model-" + i, "model-desk", zone, 9).works(400).streams(64, 30);
        }
        String letter = Desk.route("letter", "model-desk", "stream", 1, LETTER_TIMEOUT_MILLIS);
        desk.writeConfig(
                10,
                Desk.route("issue", "pass-core", "non_idempotent", 1, ISSUE_TIMEOUT_MILLIS)
                        + ","
                        + letter.replace("target-latency-ms\":150", "target-latency-ms\":800"),
                Desk.tenant("city", "key"));
        if (!desk.start(25)) {
            return Desk.COULD_NOT_RUN;
        }
        Host host = desk.hosts.get(5);
        double start = Record.seconds();
        List<Requester.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        byte[] body = new byte[Desk.trouble() ? LARGE_BYTES : USUAL_BYTES];
        Arrays.fill(body, (byte) 'x');
        for (int i = 0; i < LARGE_REQUESTERS; i++) {
            double first = start + 1 + i * 0.05;
            threads.add(
                    Thread.ofVirtual()
                            .start(() -> call(desk, host, "letter", body, first, answers)));
        }
        for (int i = 0; i < SMALL_REQUESTERS; i++) {
            threads.add(
                    Thread.ofVirtual()
                            .start(() -> call(desk, host, "issue", new byte[600], start, answers)));
        }
        while (!over && Record.seconds() < start + TRAFFIC_SECONDS) {
            Thread.sleep(200);
            over = unanswered(answers) >= 40;
        }
        over = true;
        for (Thread thread : threads) {
            thread.join();
        }
        boolean ready = host.isReady();
        desk.record.add(
                "%s: process alive=%s, answers /ready=%s".formatted(host.name(), host.isAlive(), ready));
        return judge(desk, answers);
    }

    private static long unanswered(List<Requester.Answer> answers) {
        return List.copyOf(answers).stream().filter(Requester.Answer::isUnanswered).count();
    }

    private static void call(
            Desk desk,
            Host host,
            String route,
            byte[] body,
            double first,
            List<Requester.Answer> answers) {
        boolean letter = route.equals("letter");
        int deadlineMillis = letter ? LETTER_TIMEOUT_MILLIS : 1_500;
        try (Requester requester = new Requester(desk.record, host.front(), "key")) {
            Record.sleepUntil(first);
            while (!over) {
                answers.add(
                        requester.send(
                                "POST",
                                "/" + route + "/1",
                                body,
                                deadlineMillis,
                                "X-Model",
                                "m",
                                "X-Token-Counts",
                                "6000,380",
                                "X-Prompt-Prefix",
                                "5c1e07a2:60," + Requester.nextId() + ":5940"));
                Thread.sleep(100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A request counts as unanswered if nothing came until 2 s after its deadline. */
    private static int judge(Desk desk, List<Requester.Answer> answers) {
        Map<String, String> ran = desk.record.runs();
        long unanswered = unanswered(answers);
        long late = answers.stream().filter(it -> it.status() == 504).count() + unanswered;
        long served = answers.stream().filter(it -> it.status() == 200).count();
        long kept = answers.stream().filter(it -> it.isUnanswered() && it.kept()).count();
        long passedOn =
                answers.stream().filter(it -> it.isUnanswered() && ran.containsKey(it.id())).count();
        long closed = answers.stream().filter(it -> it.status() == 0 && it.closed()).count();
        desk.record.add(
                ("result: %d answered 200; %d unanswered at their route's timeout, of these %d"
                                + " without any answer later (%d on kept channels, %d passed on to a"
                                + " worker); %d channels closed without an answer")
                        .formatted(served, late, unanswered, kept, passedOn, closed));
        if (served < 15) {
            return Desk.COULD_NOT_RUN;
        }
        return unanswered >= MIN_UNANSWERED && 4 * unanswered > late ? Desk.BROKEN : Desk.HELD;
    }
}
