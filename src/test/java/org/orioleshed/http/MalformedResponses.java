package org.orioleshed.http;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;

/**
 * Responses that would be sound but for one malformed part. Each reader of responses is tested with
 * all of them.
 */
public final class MalformedResponses {
    /** Replaced by the field lines that the reader expects. */
    private static final String FIELDS = "{fields}";

    /** Replaced by the body; its length has two placeholders of its own. */
    private static final String BODY = "{body}";

    private static final String LENGTH = "{length}";
    private static final String HEX_LENGTH = "{hex length}";

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String REST = FIELDS + "Content-Length: {length}\r\n\r\n{body}";
    private static final String CHUNKED = FIELDS + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "{hex length}\r\n{body}\r\n";

    private static final List<String> HEADS =
            List.of(
                    "HTTP/1.1 000 X\r\n" + REST,
                    "HTTP/1.1 0200 X\r\n" + REST,
                    "HTTP/1.1 2000 X\r\n" + REST,
                    "HTTP/1.1 200X OK\r\n" + REST,
                    "HTTP/1.1 999 X\r\n" + REST,
                    "HTTP/2.0 200 OK\r\n" + REST,
                    "HTTP/1.1\t200 OK\r\n" + REST,
                    "HTTP/1.1 200 O\u0007K\r\n" + REST,
                    OK + "A B: v\r\n" + REST,
                    OK + "A : v\r\n" + REST,
                    OK + "A\u0001: v\r\n" + REST,
                    OK + "no colon\r\n" + REST,
                    OK + ": v\r\n" + REST,
                    OK + "A: v\u0001w\r\n" + REST,
                    OK + FIELDS + "Content-Length : {length}\r\n\r\n{body}",
                    OK + FIELDS + "Content-Length: +{length}\r\n\r\n{body}",
                    OK + "Content-Length: 1\r\n" + REST,
                    OK + FIELDS + "Transfer-Encoding : chunked\r\n\r\n" + CHUNK + "0\r\n\r\n",
                    OK + FIELDS + "Transfer-Encoding: xchunked\r\n\r\n" + CHUNK + "0\r\n\r\n",
                    OK + FIELDS + "Transfer-Encoding: gzip, chunked\r\n\r\n" + CHUNK + "0\r\n\r\n",
                    OK + "Transfer-Encoding: chunked\r\n" + REST,
                    OK + "Transfer-Encoding: gzip\r\n" + REST,
                    OK + "Content-Length: {length}\r\n" + CHUNKED + CHUNK + "0\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\nA B: v\r\n\r\n" + OK + REST,
                    "HTTP/1.1 000 Continue\r\n\r\n" + OK + REST);

    /** Malformed behind the head: in a trailer, or a chunk. */
    private static final List<String> BODIES =
            List.of(
                    OK + CHUNKED + CHUNK + "0\r\nA B: v\r\n\r\n",
                    OK + CHUNKED + CHUNK + "0\r\nno colon\r\n\r\n",
                    OK + CHUNKED + "{hex length}\r\n{body}xx\r\n0\r\n\r\n");

    private MalformedResponses() {}

    /**
     * Returns a response.
     *
     * @param template a row of {@link #templates}, or of the other data providers
     * @param fields field lines, each with its end
     */
    public static String fill(String template, String fields, String body) {
        return template.replace(FIELDS, fields)
                .replace(HEX_LENGTH, Integer.toHexString(body.length()))
                .replace(LENGTH, Integer.toString(body.length()))
                .replace(BODY, body);
    }

    /** Returns the templates, for {@link #fill}. */
    @DataProvider(name = "malformed")
    public static Object[][] templates() {
        List<String> all = new ArrayList<>(HEADS);
        all.addAll(BODIES);
        return rows(all);
    }

    /** Returns those templates whose heads, or interim responses, are malformed. */
    @DataProvider(name = "malformedHeads")
    public static Object[][] headTemplates() {
        return rows(HEADS);
    }

    /** Returns templates of sound responses, for {@link #fill}. */
    @DataProvider(name = "sound")
    public static Object[][] soundTemplates() {
        return rows(
                List.of(
                        OK + REST,
                        OK + CHUNKED + CHUNK + "0\r\n\r\n",
                        OK + CHUNKED + CHUNK + "0\r\nA: v\r\n\r\n",
                        "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + OK + REST,
                        "HTTP/1.1 200\r\n" + REST));
    }

    private static Object[][] rows(List<String> templates) {
        List<Object[]> rows = new ArrayList<>();
        templates.forEach(template -> rows.add(new Object[] {template}));
        return rows.toArray(Object[][]::new);
    }
}
