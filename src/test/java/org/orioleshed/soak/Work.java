package org.orioleshed.soak;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * What a call asks of its server, as its path tells it; what is answered follows from it and from
 * the call's id alone.
 *
 * @param path the path, which ends with the three numbers
 * @param parts the events of a stream, or the lines of a plain answer
 * @param pauseMillis the time that the server takes for each part
 */
record Work(String path, int parts, long pauseMillis) {
    /** Returns the work of a call under a route's prefix. */
    static Work of(String prefix, int parts, long pauseMillis) {
        return new Work("%s%d/%d".formatted(prefix, parts, pauseMillis), parts, pauseMillis);
    }

    /** Reads the work from a request's first line. */
    static Work read(String line) {
        String path = line.split(" ", -1)[1];
        List<String> words = Splitter.on('/').splitToList(path);
        int last = words.size() - 1;
        return new Work(
                path, Integer.parseInt(words.get(last - 1)), Long.parseLong(words.get(last)));
    }

    long millis() {
        return parts * pauseMillis;
    }

    static String event(String id, int number) {
        return "id: %d\ndata: %s-%d\n\n".formatted(number, id, number);
    }

    /** Returns the whole body that a caller must get. */
    String body(String id, boolean streams) {
        StringBuilder body = new StringBuilder();
        for (int part = 1; part <= parts; part++) {
            body.append(streams ? event(id, part) : "%s line %d\n".formatted(id, part));
        }
        return body.toString();
    }
}
