package org.orioleshed.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.orioleshed.model.Payload;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link StreamParser}, including lines that are not valid events. */
public class StreamParserTest {
    @Test
    public void tokensAreParsedWithTheirOffset() {
        String line =
                "data: {\"choices\":[{\"delta\":{\"content\":\" hi\"}}],\"offset\":4,\"count\":2}";
        assertEquals(StreamParser.parse(line), new StreamEvent.Tokens(4, 2, Payload.of(" hi")));
    }

    @DataProvider
    Object[][] idleLines() {
        return new Object[][] {{""}, {": alive"}, {"event: x"}, {"data: {\"choices\":[]}"}};
    }

    @Test(dataProvider = "idleLines")
    public void linesWithoutTokensAreIdle(String line) {
        assertEquals(StreamParser.parse(line), new StreamEvent.Idle());
    }

    @DataProvider
    Object[][] malformedLines() {
        return new Object[][] {
            {"data: {"},
            {"data: 7"},
            {"data: [1]"},
            {"data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}"},
            {"data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}],\"offset\":-1,\"count\":1}"},
            {"data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}],\"offset\":\"0\",\"count\":1}"},
        };
    }

    @Test(dataProvider = "malformedLines")
    public void invalidEventsAreMalformed(String line) {
        assertTrue(StreamParser.parse(line) instanceof StreamEvent.Malformed);
    }

    @Test
    public void endAndErrorAreParsed() {
        assertEquals(StreamParser.parse("data: [DONE]"), new StreamEvent.Stop());
        assertEquals(
                StreamParser.parse("data: {\"error\":{\"message\":\"out of memory\"}}"),
                new StreamEvent.Failure("out of memory"));
    }
}
