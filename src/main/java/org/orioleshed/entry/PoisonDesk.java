package org.orioleshed.entry;

import java.util.List;
import java.util.Optional;
import org.orioleshed.admin.AdminReply;
import org.orioleshed.host.HostCore;
import org.orioleshed.request.QuarantinedContent;

/** Lists and releases content that crashed servers. To be used on the decisions' thread only. */
final class PoisonDesk {
    private final Optional<HostCore> core;
    private final HostActions actions;

    /** Makes a desk; without a core it lists nothing. */
    PoisonDesk(Optional<HostCore> core, HostActions actions) {
        this.core = core;
        this.actions = actions;
    }

    AdminReply list(long nowNanos) {
        List<List<String>> rows =
                quarantined(nowNanos).stream()
                        .map(
                                content ->
                                        List.of(
                                                content.fingerprint().toString(),
                                                Integer.toString(content.crashes()),
                                                content.quarantined() ? "held" : "suspect",
                                                Long.toString(content.remainingMillis())))
                        .toList();
        return new AdminReply.Table(
                List.of("fingerprint", "crashes", "state", "remainingMillis"), rows);
    }

    AdminReply clear(long nowNanos, Optional<String> fingerprint) {
        List<QuarantinedContent> chosen =
                quarantined(nowNanos).stream()
                        .filter(content -> matches(content, fingerprint))
                        .toList();
        if (chosen.isEmpty() && fingerprint.isPresent()) {
            return new AdminReply.NotFound("content " + fingerprint.get());
        }
        chosen.forEach(
                content ->
                        core.orElseThrow()
                                .releasePoison(content.fingerprint())
                                .forEach(actions::perform));
        return new AdminReply.Accepted("", 0, "released " + chosen.size());
    }

    private static boolean matches(QuarantinedContent content, Optional<String> fingerprint) {
        return fingerprint.map(content.fingerprint().toString()::equals).orElse(true);
    }

    private List<QuarantinedContent> quarantined(long nowNanos) {
        return core.map(known -> known.poison(nowNanos)).orElse(List.of());
    }
}
