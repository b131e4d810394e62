package org.orioleshed.host;

import java.util.ArrayList;
import java.util.List;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Request;

/** The events and actions of all hosts, for the message of a failed check. */
final class Trace {
    private static final int MAX_LINES = 60;

    private final List<Entry> entries = new ArrayList<>();

    private record Entry(long atNanos, HostId host, Object item) {}

    void add(long atNanos, HostId host, Object item) {
        if (!(item instanceof HostEvent.Tick)) {
            entries.add(new Entry(atNanos, host, item));
        }
    }

    /** Returns the last entries that name the request or its key, one per line. */
    String linesAbout(Request request) {
        String id = request.id().toString();
        String parts =
                "RequestId[host=%s, incarnation=%d, sequence=%d]"
                        .formatted(
                                request.id().host(),
                                request.id().incarnation(),
                                request.id().sequence());
        String key = request.key().toString();
        List<String> lines =
                entries.stream()
                        .map(e -> e.atNanos / 1_000_000 + " " + e.host + " " + e.item)
                        .filter(l -> l.contains(id) || l.contains(parts) || l.contains(key))
                        .toList();
        int first = Math.max(0, lines.size() - MAX_LINES);
        return "\n" + String.join("\n", lines.subList(first, lines.size()));
    }
}
