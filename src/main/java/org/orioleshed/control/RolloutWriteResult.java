package org.orioleshed.control;

import org.orioleshed.model.RolloutId;
import org.orioleshed.rollout.RolloutRecord;

/** What became of an operator's wish about a rollout. */
public sealed interface RolloutWriteResult {
    /** The record stands in the store. */
    record Written(RolloutRecord record) implements RolloutWriteResult {}

    /** A rollout of that name was there before. Nothing was written. */
    record Exists(RolloutRecord record) implements RolloutWriteResult {}

    /** The rollout has its outcome already. Nothing was written. */
    record Decided(RolloutRecord record) implements RolloutWriteResult {}

    /** There is no such rollout. */
    record NotFound(RolloutId rollout) implements RolloutWriteResult {}

    /** The store's value is no record. Nothing was written. */
    record Unreadable(String detail) implements RolloutWriteResult {}

    /** The store can't be asked. Nothing was written. */
    record StoreAway(String detail) implements RolloutWriteResult {}

    /** The store did not say whether the record was written; ask again. */
    record InDoubt(String detail) implements RolloutWriteResult {}
}
