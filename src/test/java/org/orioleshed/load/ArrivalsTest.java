package org.orioleshed.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.IntSummaryStatistics;
import java.util.List;
import org.orioleshed.standin.StandinText;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards the reproducibility and the shape of generated load. */
public class ArrivalsTest {
    @DataProvider
    public Object[][] deployments() {
        return new Object[][] {{Deployment.ASSOCIATION}, {Deployment.OFFICE}};
    }

    @Test(dataProvider = "deployments")
    public void sameSeedGivesSamePlan(Deployment deployment) {
        List<PlannedRequest> plan = Arrivals.plan(deployment.mix(), 20, 7);
        assertEquals(Arrivals.plan(deployment.mix(), 20, 7), plan);
        assertNotEquals(Arrivals.plan(deployment.mix(), 20, 8), plan);
    }

    @Test(dataProvider = "deployments")
    public void arrivalRateMatchesMix(Deployment deployment) {
        double perSecond = deployment.mix().stream().mapToDouble(Traffic::perSecond).sum();
        double burstFactor = 1.1;
        double expected = perSecond * 200 * burstFactor;
        int planned = Arrivals.plan(deployment.mix(), 200, 1).size();
        assertEquals(planned, expected, expected * 0.05);
    }

    @Test(dataProvider = "deployments")
    public void answerLengthsSpanTwoOrdersOfMagnitude(Deployment deployment) {
        IntSummaryStatistics answers =
                Arrivals.plan(deployment.mix(), 200, 1).stream()
                        .filter(r -> r.traffic().payload() instanceof Traffic.Payload.Text)
                        .mapToInt(PlannedRequest::answerTokens)
                        .summaryStatistics();
        assertTrue(answers.getMax() >= 100 * answers.getMin(), answers.toString());
    }

    @Test(dataProvider = "deployments")
    public void bodiesCarryTagAndLengthForStandins(Deployment deployment) throws Exception {
        for (PlannedRequest request : Arrivals.plan(deployment.mix(), 2, 1)) {
            if (!(request.traffic().payload() instanceof Traffic.Payload.Text text)) {
                continue;
            }
            var messages = Json.MAPPER.readTree(RequestBody.json(request)).path("messages");
            String prompt =
                    messages.path(0).path("content").asText()
                            + "\n"
                            + messages.path(1).path("content").asText();
            int length = StandinText.length(prompt, text.answer().max());
            assertEquals(length, request.answerTokens());
            assertEquals(StandinText.tag(prompt, ""), request.tag());
            assertEquals(RequestBody.expectedAnswer(request), StandinText.answer(prompt, length));
        }
    }
}
