package org.orioleshed.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.orioleshed.model.Payload;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link StreamParser}. */
public class StreamParserTest {
    @Test
    public void readsTokensWithTheirOffset() {
        String line =
                "data: {\"choices\":[{\"delta\":{\"content\":\" hi\"}}],\"offset\":4,\"count\":2}";
        assertEquals(StreamParser.parse(line), new StreamEvent.Tokens(4, 2, Payload.of(" hi")));
    }

    @DataProvider
    Object[][] quietLines() {
        return new Object[][] {{""}, {": alive"}, {"event: x"}, {"data: {\"choices\":[]}"}};
    }

    @Test(dataProvider = "quietLines")
    public void otherLinesAreSignsOfLife(String line) {
        assertEquals(StreamParser.parse(line), new StreamEvent.Idle());
    }

    @DataProvider
    Object[][] badLines() {
        return new Object[][] {
            {"data: {"},
            {"data: 7"},
            {"data: [1]"},
            {"data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}"},
            {"data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}],\"offset\":-1,\"count\":1}"},
            {"data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}],\"offset\":\"0\",\"count\":1}"},
        };
    }

    @Test(dataProvider = "badLines")
    public void badEventsAreTyped(String line) {
        assertTrue(StreamParser.parse(line) instanceof StreamEvent.Malformed);
    }

    @Test
    public void tellsTheEndAndErrorsFromTokens() {
        assertEquals(StreamParser.parse("data: [DONE]"), new StreamEvent.Stop());
        assertEquals(
                StreamParser.parse("data: {\"error\":{\"message\":\"out of memory\"}}"),
                new StreamEvent.Failure("out of memory"));
    }
}
