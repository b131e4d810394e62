package org.orioleshed.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.orioleshed.load.Result.End;
import org.orioleshed.load.Result.Send;
import org.orioleshed.standin.RunRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards the counts that compare replies to callers with runs on stand-ins. */
public class ReportTest {
    private static final Sizes SIZES = new Sizes(10, 0, 1, 100);
    private static final Traffic URGENT = text("gangway", "urgent");
    private static final Traffic PATIENT = text("summaries", "patient");
    private static final Traffic HOLD =
            new Traffic(
                    "bookings",
                    "urgent",
                    1,
                    List.of("w"),
                    5_000,
                    new Traffic.Payload.Call("hold", false));

    private static Traffic text(String route, String tier) {
        Traffic.Payload payload = new Traffic.Payload.Text(64, SIZES, SIZES);
        return new Traffic(route, tier, 1, List.of("w"), 5_000, payload);
    }

    private static PlannedRequest request(int index, Traffic traffic) {
        return new PlannedRequest(index, 0, traffic, "w", 10, 10, "t" + index);
    }

    private static Result answered(PlannedRequest request) {
        Send send = new Send("h", 1_000, 2_000, "answered", "");
        return new Result(request, End.ANSWERED, true, true, 5, List.of(send));
    }

    private static Result refused(PlannedRequest request, String code) {
        Send send = new Send("h", 1_000, 2_000, "not_run", code);
        return new Result(request, End.NOT_RUN, false, true, -1, List.of(send));
    }

    private static RunRecord run(String tag, long start, long end, boolean finished) {
        return new RunRecord("e", "v1", "run", tag, start, end, 100, finished);
    }

    private static JsonNode report(List<Result> results, RunRecord... runs) {
        return new Report(results, new RunLog(List.of(runs))).json(new LatencyHistograms());
    }

    @Test
    public void hasRequiredFields() {
        JsonNode report = report(List.of(answered(request(0, URGENT))));
        for (String field :
                List.of(
                        "requests",
                        "answered",
                        "failed",
                        "notRun",
                        "inDoubt",
                        "lost",
                        "doubleRuns",
                        "falseNotRun",
                        "wrongAnswers",
                        "shedWhileLowerRan",
                        "usefulPrefillTokens",
                        "wastedPrefillTokens")) {
            assertTrue(report.path(field).isIntegralNumber(), field);
        }
        for (String field : List.of("goodput", "firstTokenMillisP95", "tokenGapMillisP95")) {
            for (String tier : Report.TIERS) {
                assertTrue(report.path(field).path(tier).isNumber(), field + "." + tier);
            }
        }
    }

    @DataProvider
    public Object[][] doubleRuns() {
        return new Object[][] {
            {HOLD, run("t0", 1, 1, true), run("t0", 9, 9, true), 1},
            {HOLD, run("t0", 1, 1, true), run("t1", 9, 9, true), 0},
            {URGENT, run("t0", 1, 5, false), run("t0", 9, 20, true), 0},
            {URGENT, run("t0", 1, 10, false), run("t0", 9, 20, true), 1},
            {URGENT, run("t0", 1, 0, false), run("t0", 9, 20, true), 1},
        };
    }

    @Test(dataProvider = "doubleRuns")
    public void countsRepeatedCallsAndOverlappingRuns(
            Traffic traffic, RunRecord first, RunRecord second, int expected) {
        JsonNode report = report(List.of(answered(request(0, traffic))), first, second);
        assertEquals(report.path("doubleRuns").asInt(), expected);
    }

    @Test
    public void countsFalseNotRunReplies() {
        List<Result> results = List.of(refused(request(0, HOLD), "overload"));
        assertEquals(report(results, run("t0", 1, 1, true)).path("falseNotRun").asInt(), 1);
        assertEquals(report(results).path("falseNotRun").asInt(), 0);
    }

    @DataProvider
    public Object[][] sheds() {
        return new Object[][] {
            {"overload", 1_000, 3_000, 1},
            {"overload", 1_000, 1_900, 0},
            {"overload", 1_950, 3_000, 0},
            {"overload", 1_000, 0, 1},
            {"workspace_limit", 1_000, 3_000, 0},
        };
    }

    @Test(dataProvider = "sheds")
    public void countsRequestsShedWhileLowerTierRan(
            String code, long start, long end, int expected) {
        List<Result> results =
                List.of(refused(request(0, URGENT), code), answered(request(1, PATIENT)));
        JsonNode report = report(results, run("t1", start, end, true));
        assertEquals(report.path("shedWhileLowerRan").asInt(), expected);
    }

    @Test
    public void prefillIsUsefulOnlyForAnswersInTime() {
        List<Result> results =
                List.of(answered(request(0, URGENT)), refused(request(1, URGENT), "deadline"));
        JsonNode report =
                report(
                        results,
                        run("t0", 1, 5, false),
                        run("t0", 6, 9, true),
                        run("t1", 1, 9, false));
        assertEquals(report.path("usefulPrefillTokens").asInt(), 100);
        assertEquals(report.path("wastedPrefillTokens").asInt(), 200);
    }
}
