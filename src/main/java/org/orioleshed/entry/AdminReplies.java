package org.orioleshed.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.orioleshed.admin.AdminReply;
import org.orioleshed.control.RolloutWriteResult;
import org.orioleshed.rollout.RolloutRecord;
import org.orioleshed.rollout.RolloutStatus;
import org.orioleshed.settings.Problem;
import org.orioleshed.settings.ProposalResult;
import org.orioleshed.settings.SettingsChange;
import org.orioleshed.settings.SettingsDocument;
import org.orioleshed.settings.SettingsEdit;

/** Converts results of the control loop to admin replies. */
final class AdminReplies {
    private AdminReplies() {}

    static AdminReply of(String changeId, ProposalResult result) {
        return switch (result) {
            case ProposalResult.Accepted accepted ->
                    new AdminReply.Accepted(changeId, accepted.number(), "accepted");
            case ProposalResult.Rejected rejected -> rejected(rejected.problems());
            case ProposalResult.Conflict conflict ->
                    new AdminReply.Conflict(conflict.presentNumber(), conflict.since().toString());
            case ProposalResult.Refused refused ->
                    new AdminReply.Rejected(
                            List.of(
                                    new AdminReply.Problem(
                                            "", refused.detail(), Optional.empty())));
            case ProposalResult.StoreUnavailable unavailable ->
                    new AdminReply.StoreUnavailable(unavailable.detail());
            case ProposalResult.InDoubt inDoubt ->
                    new AdminReply.Unknown(changeId, inDoubt.detail());
        };
    }

    static AdminReply rejected(List<Problem> problems) {
        return new AdminReply.Rejected(problems.stream().map(AdminReplies::of).toList());
    }

    private static AdminReply.Problem of(Problem problem) {
        String found = problem.value().isEmpty() ? "" : "found " + problem.value() + "; ";
        return new AdminReply.Problem(
                problem.path(), found + "allowed: " + problem.allowed(), problem.nearest());
    }

    static AdminReply of(RolloutWriteResult result) {
        return switch (result) {
            case RolloutWriteResult.Written written -> accepted(written.record());
            case RolloutWriteResult.Exists exists ->
                    new AdminReply.Conflict(0, "rollout already exists: " + exists.record());
            case RolloutWriteResult.Decided decided ->
                    new AdminReply.Conflict(
                            0, "rollout already has an outcome: " + stateName(decided.record()));
            case RolloutWriteResult.NotFound missing ->
                    new AdminReply.NotFound("move " + missing.rollout());
            case RolloutWriteResult.Unreadable unreadable ->
                    new AdminReply.StoreUnavailable(unreadable.detail());
            case RolloutWriteResult.StoreUnavailable unavailable ->
                    new AdminReply.StoreUnavailable(unavailable.detail());
            case RolloutWriteResult.InDoubt inDoubt -> new AdminReply.Unknown("", inDoubt.detail());
        };
    }

    private static AdminReply accepted(RolloutRecord record) {
        return new AdminReply.Accepted(record.id().value(), 0, stateName(record));
    }

    private static String stateName(RolloutRecord record) {
        return record.state().name().toLowerCase(Locale.ROOT);
    }

    static AdminReply table(List<RolloutStatus> rollouts) {
        List<List<String>> rows = rollouts.stream().map(AdminReplies::row).toList();
        return new AdminReply.Table(
                List.of(
                        "move",
                        "from",
                        "to",
                        "state",
                        "step",
                        "share",
                        "newRuns",
                        "alarm",
                        "proof",
                        "fuse",
                        "completeByMillis",
                        "decidedMillis",
                        "reason"),
                rows);
    }

    private static List<String> row(RolloutStatus rollout) {
        RolloutRecord record = rollout.record();
        return List.of(
                record.id().value(),
                record.from().value(),
                record.to().value(),
                stateName(record),
                Integer.toString(record.step()),
                String.format(Locale.ROOT, "%.3f", rollout.share()),
                Long.toString(rollout.newRuns()),
                String.format(Locale.ROOT, "%.1f", rollout.alarm()),
                String.format(Locale.ROOT, "%.1f", rollout.proof()),
                rollout.breaker().orElse(""),
                Long.toString(record.completeByMillis()),
                Long.toString(record.decidedMillis()),
                record.reason());
    }

    static AdminReply diff(
            Optional<SettingsDocument> document, long fromRevision, long toRevision) {
        Optional<List<SettingsChange>> since =
                document.flatMap(present -> present.changesAfter(fromRevision));
        if (since.isEmpty()) {
            return new AdminReply.NotFound("changes since revision " + fromRevision);
        }
        List<List<String>> rows = new ArrayList<>();
        for (SettingsChange change : since.get()) {
            if (toRevision == 0 || change.number() <= toRevision) {
                change.edits().forEach(edit -> rows.add(row(change, edit)));
            }
        }
        return new AdminReply.Table(List.of("revision", "path", "value"), rows);
    }

    private static List<String> row(SettingsChange change, SettingsEdit edit) {
        return List.of(
                Long.toString(change.number()), edit.path(), edit.json().orElse("(removed)"));
    }

    static AdminReply history(Optional<List<SettingsChange>> changes, int limit) {
        List<List<String>> rows =
                changes.orElse(List.of()).reversed().stream()
                        .limit(limit)
                        .map(
                                change ->
                                        List.of(
                                                Long.toString(change.number()),
                                                Long.toString(change.atMillis()),
                                                change.author(),
                                                change.reason(),
                                                change.id()))
                        .toList();
        return new AdminReply.Table(
                List.of("revision", "atMillis", "author", "reason", "changeId"), rows);
    }
}
