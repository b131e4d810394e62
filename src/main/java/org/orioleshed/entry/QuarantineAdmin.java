package org.orioleshed.entry;

import java.util.List;
import java.util.Optional;
import org.orioleshed.admin.AdminReply;
import org.orioleshed.host.HostCore;
import org.orioleshed.request.QuarantinedContent;

/**
 * Lists and releases content that crashed servers. Must be used only on the event loop's thread.
 */
final class QuarantineAdmin {
    private final Optional<HostCore> core;
    private final ActionExecutor actions;

    /** Creates an instance; without a core the list is empty. */
    QuarantineAdmin(Optional<HostCore> core, ActionExecutor actions) {
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
        return core.map(present -> present.poison(nowNanos)).orElse(List.of());
    }
}
