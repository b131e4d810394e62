package org.orioleshed.soak;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * The work that a call requests from its server, encoded in its path. The response depends only on
 * the work and the call's id.
 *
 * @param path the path, which ends with the other two numbers
 * @param parts the number of events of a stream, or of lines of another response
 * @param pauseMillis the time that the server takes for each part
 */
record Work(String path, int parts, long pauseMillis) {
    /** Returns work with a path under a route's prefix. */
    static Work of(String prefix, int parts, long pauseMillis) {
        return new Work("%s%d/%d".formatted(prefix, parts, pauseMillis), parts, pauseMillis);
    }

    /** Reads the work from a request line. */
    static Work parse(String line) {
        String path = line.split(" ", -1)[1];
        List<String> segments = Splitter.on('/').splitToList(path);
        int last = segments.size() - 1;
        return new Work(
                path, Integer.parseInt(segments.get(last - 1)), Long.parseLong(segments.get(last)));
    }

    long totalMillis() {
        return parts * pauseMillis;
    }

    static String event(String id, int number) {
        return "id: %d\ndata: %s-%d\n\n".formatted(number, id, number);
    }

    /** Returns the complete body that the caller must receive. */
    String body(String id, boolean streams) {
        StringBuilder body = new StringBuilder();
        for (int part = 1; part <= parts; part++) {
            body.append(streams ? event(id, part) : "%s line %d\n".formatted(id, part));
        }
        return body.toString();
    }
}
