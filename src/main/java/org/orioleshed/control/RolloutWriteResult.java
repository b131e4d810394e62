package org.orioleshed.control;

import org.orioleshed.model.RolloutId;
import org.orioleshed.rollout.RolloutRecord;

/** The result of an operator's write to a rollout record. */
public sealed interface RolloutWriteResult {
    /** The record is in the store. */
    record Written(RolloutRecord record) implements RolloutWriteResult {}

    /** A rollout with that id already exists. Nothing was written. */
    record Exists(RolloutRecord record) implements RolloutWriteResult {}

    /** The rollout already has an outcome. Nothing was written. */
    record Decided(RolloutRecord record) implements RolloutWriteResult {}

    /** There is no such rollout. */
    record NotFound(RolloutId rollout) implements RolloutWriteResult {}

    /** The stored value is not a valid record. Nothing was written. */
    record Unreadable(String detail) implements RolloutWriteResult {}

    /** The store is unavailable. Nothing was written. */
    record StoreUnavailable(String detail) implements RolloutWriteResult {}

    /** The record may or may not have been written; the caller should repeat the command. */
    record InDoubt(String detail) implements RolloutWriteResult {}
}
