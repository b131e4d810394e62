package org.orioleshed.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.orioleshed.dispatch.StatedLimit;
import org.orioleshed.gateway.CallHeaders;
import org.orioleshed.gateway.HeaderTranslator.ForwardingFields;
import org.orioleshed.gateway.ResponseHeaders;
import org.orioleshed.model.PartId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.WorkspaceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PlatformHeaderTranslator}, including malformed and forged header fields. */
public class PlatformHeaderTranslatorTest {
    private final PlatformHeaderTranslator translator = new PlatformHeaderTranslator();

    @Test
    public void readsCallerHeaders() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("x-request-id", "9c")
                        .set("Api-Key", "k")
                        .set("X-Deadline-Ms", "1500")
                        .set("X-Token-Counts", "1460,80")
                        .set("X-Length-Hint", "30");
        assertEquals(
                translator.read(headers),
                new CallHeaders("9c", Optional.of("k"), 1_500, 1_460, 80, 30, 1_540, List.of()));
    }

    @DataProvider
    Object[][] promptPrefixes() {
        return new Object[][] {
            {List.of(), ""},
            {List.of("e4402b7d:250"), ""},
            {List.of("5c1e07a2:800,91bd3f06:410, e4402b7d:250"), "5c1e07a2 91bd3f06"},
            {List.of("5c1e07a2:800", "91bd3f06:410,e4402b7d:250"), "5c1e07a2 91bd3f06"},
            {List.of("5c1e07a2:800,5c1e07a2:800,1:2"), "5c1e07a2"},
            {List.of("ffffffffffffffff,1:2"), "ffffffffffffffff"},
        };
    }

    @Test(dataProvider = "promptPrefixes")
    public void readsAllPartsOfAPromptButTheLast(List<String> values, String parts) {
        HttpHeaders headers = new DefaultHttpHeaders();
        values.forEach(value -> headers.add("X-Prompt-Prefix", value));
        String read =
                translator.read(headers).sharedParts().stream()
                        .map(PartId::toString)
                        .collect(Collectors.joining(" "));
        assertEquals(read, parts);
    }

    @Test
    public void partsWithIdsOfAnotherFormAreToldApart() {
        HttpHeaders headers = new DefaultHttpHeaders().set("X-Prompt-Prefix", "x:1,,y:1,z:1");
        assertEquals(Set.copyOf(translator.read(headers).sharedParts()).size(), 3);
    }

    @DataProvider
    Object[][] malformedNumbers() {
        return new Object[][] {{"", ""}, {"x", "x"}, {"-5", "1,2,3"}, {"1e9", ","}};
    }

    @Test(dataProvider = "malformedNumbers")
    public void malformedNumbersAreIgnored(String deadline, String tokens) {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("X-Deadline-Ms", deadline)
                        .set("X-Token-Counts", tokens);
        CallHeaders callHeaders = translator.read(headers);
        assertEquals(callHeaders.deadlineMillis(), -1);
        assertTrue(callHeaders.promptTokens() >= 0);
    }

    @DataProvider
    Object[][] statedTokens() {
        return new Object[][] {
            {"", -1L},
            {"x", -1L},
            {"x,7", -1L},
            {"-5,7", -1L},
            {",7", -1L},
            {"1e9,7", -1L},
            {"9223372036854775808,1", -1L},
            {"0,0", 0L},
            {"100", 100L},
            {"100,x", 100L},
            {"100,-7", 100L},
            {"100,7", 107L},
        };
    }

    /** A negative number is charged as a call that states no tokens. */
    @Test(dataProvider = "statedTokens")
    public void malformedTokenCountsPutNoUnitsBack(String tokens, long charged) {
        HttpHeaders headers = new DefaultHttpHeaders().set("X-Token-Counts", tokens);
        assertEquals(translator.read(headers).statedTokens(), charged);
        headers.set("X-Token-Counts", Long.MAX_VALUE + ",1");
        assertTrue(translator.read(headers).statedTokens() < 0);
    }

    @Test
    public void twoKeysCountAsNone() {
        HttpHeaders headers = new DefaultHttpHeaders().add("Api-Key", "a").add("Api-Key", "b");
        assertEquals(translator.read(headers).key(), Optional.empty());
    }

    @Test
    public void reservedHeadersOfCallersAreReplaced() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("Api-Key", "k")
                        .set("X-Tenant", "forged")
                        .set("X-Expect-Instance", "forged")
                        .set("X-Hold", "forged")
                        .set("X-Pin-Ms", "9")
                        .set("X-Kv-Backup", "forged")
                        .set("Kv-From", "forged")
                        .set("Connection", "close, X-Own")
                        .set("X-Own", "1")
                        .set("X-Other", "kept")
                        .set("X-Deadline-Ms", "9000");
        HttpHeaders sent =
                translator.toServer(
                        headers,
                        new ForwardingFields(
                                new ServerId("i-1"),
                                Optional.of(new WorkspaceId("t")),
                                700,
                                Optional.of("12")));
        assertEquals(sent.getAll("X-Tenant").toString(), "[t]");
        assertEquals(sent.get("X-Expect-Instance"), "i-1");
        assertEquals(sent.get("X-Deadline-Ms"), "700");
        assertEquals(sent.get("Last-Event-Id"), "12");
        assertEquals(sent.get("X-Other"), "kept");
        assertEquals(sent.size(), 5);
    }

    @Test
    public void readsServerHeaders() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set("X-Request-Id", "9c")
                        .set("X-Response-Signature", "s")
                        .set("Keep-Alive", "timeout=5, max=9");
        assertEquals(
                translator.readResponse(200, headers),
                new ResponseHeaders("9c", true, false, 5_000, false, 0, StatedLimit.NONE));
        assertTrue(translator.readResponse(200, headers.set("X-Not-Executed", "1")).notRun());
    }

    @DataProvider
    Object[][] limits() {
        return new Object[][] {
            {"4.2", new StatedLimit.Rate(4.2)},
            {"1.3", new StatedLimit.Rate(1.3)},
            {"0", new StatedLimit.Rate(0)},
            {"0.25", new StatedLimit.Rate(0.25)},
            {"999999999999", new StatedLimit.Rate(999_999_999_999.0)},
            {"-1", StatedLimit.UNKNOWN},
            {"NaN", StatedLimit.UNKNOWN},
            {"1e999", StatedLimit.UNKNOWN},
            {"9".repeat(400), StatedLimit.UNKNOWN},
            {"", StatedLimit.UNKNOWN},
            {"soon", StatedLimit.UNKNOWN}
        };
    }

    @Test(dataProvider = "limits")
    public void readsServerLimitAndMarksMalformedOneUnknown(String stated, StatedLimit limit) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Server-Limit", stated);
        assertEquals(translator.readResponse(503, headers).limit(), limit);
    }

    /** Guards against an unreadable value that is taken for a statement, or for its end. */
    @Test(dataProvider = "limits")
    public void readsServerBrittleAndMarksMalformedOneUnknown(String stated, StatedLimit brittle) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Server-Brittle", stated);
        assertEquals(translator.readResponse(200, headers).brittle(), brittle);
        assertEquals(translator.readResponse(200, headers).limit(), StatedLimit.NONE);
    }

    @DataProvider
    Object[][] warmups() {
        return new Object[][] {
            {"2500", 2_500L},
            {"0", 0L},
            {"12.5", 12L},
            {"-1", 0L},
            {"soon", 0L},
            {"", 0L},
            {"1e999", 0L},
            {"9".repeat(18), 999_999_999_999_999_999L}
        };
    }

    @Test(dataProvider = "warmups")
    public void readsHowLongTheServerIsCold(String stated, long millis) {
        HttpHeaders headers = new DefaultHttpHeaders().set("X-Warmup-Ms", stated);
        assertEquals(translator.readResponse(200, headers).warmupMillis(), millis);
    }

    @Test
    public void ownResponsesHaveRetryAfterAndNoSignature() {
        HttpHeaders headers = new DefaultHttpHeaders();
        translator.markLocalResponse(headers, "9c", 350);
        assertEquals(headers.get("Retry-After"), "0.350");
        assertEquals(headers.get("X-Request-Id"), "9c");
        assertFalse(headers.contains("X-Response-Signature"));
    }
}
