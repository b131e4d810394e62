package org.orioleshed.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Compares the pacing of recovering servers with the fixed backoff on the same replays. */
public class AdaptiveConcurrencyReplayTest {
    private static final PacingPolicy ON = new PacingPolicy(true, 4_000);
    private static final int NEVER = 1_000;

    /** The trial requests that fail while a server is down for a second, at 250 and 750 ms. */
    private static final int TRIALS_WHILE_DOWN = 2;

    @DataProvider
    Object[][] scenarios() {
        return new Object[][] {
            {"half_second", new RecoveryReplay.Scenario(4, 1, false, 500, NEVER, 80), 1_500},
            {"at_once", new RecoveryReplay.Scenario(4, 1, false, 0, NEVER, 80), 1_000},
            {"twenty", new RecoveryReplay.Scenario(20, 20, false, 500, NEVER, 400), 1_500},
            {"silent", new RecoveryReplay.Scenario(4, 1, true, 0, NEVER, 80), 365},
        };
    }

    /** Guards against a recovering server that is flooded, or left idle too long. */
    @Test(dataProvider = "scenarios")
    public void isInFullUseEarlierAndOnlyTrialRequestsFailInAddition(
            String name, RecoveryReplay.Scenario scenario, long maxFullUseMillis) {
        RecoveryReplay fixed = new RecoveryReplay(scenario, PacingPolicy.OFF).run();
        RecoveryReplay paced = new RecoveryReplay(scenario, ON).run();
        String figures = describe(name, "fixed", fixed) + describe(name, "paced", paced);
        Reporter.log(figures, true);
        int trials = scenario.silent() ? 0 : scenario.affected() * TRIALS_WHILE_DOWN;
        assertTrue(paced.failedAttempts <= fixed.failedAttempts + trials, figures);
        assertTrue(paced.answered > fixed.answered, figures);
        assertTrue(paced.refused < fixed.refused, figures);
        assertTrue(paced.fullUseMillis >= 0, figures);
        assertTrue(paced.fullUseMillis <= maxFullUseMillis, figures);
        assertEquals(paced.paced, 0, figures);
    }

    /** Guards against a server that is brought down again and again at the same concurrency. */
    @Test
    public void aServerThatCrashesAtAConcurrencyServesMorePerFailure() {
        RecoveryReplay.Scenario scenario = new RecoveryReplay.Scenario(4, 1, false, 0, 3, 80);
        RecoveryReplay fixed = new RecoveryReplay(scenario, PacingPolicy.OFF).run();
        RecoveryReplay paced = new RecoveryReplay(scenario, ON).run();
        String figures = describe("crash", "fixed", fixed) + describe("crash", "paced", paced);
        Reporter.log(figures, true);
        assertTrue(paced.answered > fixed.answered, figures);
        assertTrue(
                paced.failedAttempts * fixed.answeredThere
                        <= fixed.failedAttempts * paced.answeredThere,
                figures);
        assertTrue(paced.answeredThere > 0, figures);
        assertEquals(paced.paced, 1, figures);
    }

    private static String describe(String name, String rule, RecoveryReplay replay) {
        return "%s %s failed=%d full_use_ms=%d answered=%d there=%d refused=%d outages=%d%n"
                .formatted(
                        name,
                        rule,
                        replay.failedAttempts,
                        replay.fullUseMillis,
                        replay.answered,
                        replay.answeredThere,
                        replay.refused,
                        replay.crashes);
    }
}
