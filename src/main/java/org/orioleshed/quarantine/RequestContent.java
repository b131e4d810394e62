package org.orioleshed.quarantine;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.orioleshed.model.PartId;

/**
 * What a request holds, as far as that may tell why a server crashed while it ran.
 *
 * @param fingerprint a fingerprint of the whole content and its sender
 * @param parts the parts of its prompt that other requests may share; none for a plain service
 */
public record RequestContent(long fingerprint, Set<PartId> parts) {
    /** Copies the set. */
    public RequestContent {
        parts = Set.copyOf(parts);
    }

    /** Makes a content without parts. */
    public static RequestContent whole(long fingerprint) {
        return new RequestContent(fingerprint, Set.of());
    }

    /** Returns all that may be to blame for a crash: the whole content and each part. */
    List<Suspect> suspects() {
        return Stream.<Suspect>concat(
                        Stream.of(new Suspect.Content(fingerprint)),
                        parts.stream().map(Suspect.Part::new))
                .toList();
    }

    /** Formats the content for the log. */
    @Override
    public String toString() {
        List<String> ids = parts.stream().map(PartId::toString).sorted().toList();
        return "content=%016x parts=[%s]".formatted(fingerprint, String.join(",", ids));
    }
}
