package org.orioleshed.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Optional;
import org.orioleshed.host.HostEvent;
import org.orioleshed.model.ServerId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of how {@link ReportPoller} parses reports and cache events. */
public class ReportPollerTest {
    private static final ServerId SERVER = new ServerId("s");
    private static final ObjectMapper JSON = new ObjectMapper();

    @Test
    public void loadReportIsParsed() throws JsonProcessingException {
        String report = "{\"running\":3,\"waiting\":2,\"ageMillis\":900}";
        assertEquals(
                ReportPoller.loadReport(SERVER, JSON.readTree(report)),
                Optional.of(new HostEvent.LoadReported(SERVER, 3, 2, 900)));
    }

    @DataProvider
    Object[][] invalidReports() {
        return new Object[][] {
            {"{}"},
            {"[]"},
            {"7"},
            {"{\"running\":-1,\"waiting\":2,\"ageMillis\":900}"},
            {"{\"running\":\"x\",\"waiting\":2,\"ageMillis\":900}"},
        };
    }

    @Test(dataProvider = "invalidReports")
    public void invalidLoadReportIsDropped(String report) throws JsonProcessingException {
        assertTrue(ReportPoller.loadReport(SERVER, JSON.readTree(report)).isEmpty());
    }

    @Test
    public void invalidHashIsReportedAsAGap() throws JsonProcessingException {
        String events = "{\"gap\":false,\"stored\":[1,\"x\"],\"evicted\":[2]}";
        assertEquals(
                ReportPoller.cacheReport(SERVER, JSON.readTree(events)),
                new HostEvent.CacheReported(SERVER, List.of(1L), List.of(2L), true));
    }
}
