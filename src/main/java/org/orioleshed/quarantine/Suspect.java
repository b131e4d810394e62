package org.orioleshed.quarantine;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.orioleshed.model.PartId;

/** What in a request may crash the servers that run it. */
public sealed interface Suspect {
    /** Parses the form that {@code toString} writes; empty if it is another. */
    static Optional<Suspect> parse(String text) {
        Matcher matcher = Text.PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long value = Long.parseUnsignedLong(matcher.group(2), 16);
        return Optional.of(
                matcher.group(1).equals("part") ? new Part(new PartId(value)) : new Content(value));
    }

    /** The form of suspects in texts. */
    final class Text {
        private static final Pattern PATTERN = Pattern.compile("(part|content):([0-9a-f]{1,16})");

        private Text() {}
    }

    /**
     * The whole content.
     *
     * @param fingerprint the fingerprint of the content and its sender
     */
    record Content(long fingerprint) implements Suspect {
        @Override
        public String toString() {
            return "content:%016x".formatted(fingerprint);
        }
    }

    /**
     * One part of the prompt, whatever else the request holds.
     *
     * @param id the part
     */
    record Part(PartId id) implements Suspect {
        @Override
        public String toString() {
            return "part:" + id;
        }
    }
}
