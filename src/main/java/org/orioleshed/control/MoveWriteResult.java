package org.orioleshed.control;

import org.orioleshed.model.MoveId;
import org.orioleshed.move.MoveRecord;

/** What became of an operator's wish about a move. */
public sealed interface MoveWriteResult {
    /** The record stands in the store. */
    record Written(MoveRecord record) implements MoveWriteResult {}

    /** A move of that name was there before. Nothing was written. */
    record Exists(MoveRecord record) implements MoveWriteResult {}

    /** The move has its outcome already. Nothing was written. */
    record Decided(MoveRecord record) implements MoveWriteResult {}

    /** There is no such move. */
    record NotFound(MoveId move) implements MoveWriteResult {}

    /** The store's value is no record. Nothing was written. */
    record Unreadable(String detail) implements MoveWriteResult {}

    /** The store can't be asked. Nothing was written. */
    record StoreAway(String detail) implements MoveWriteResult {}

    /** The store did not say whether the record was written; ask again. */
    record InDoubt(String detail) implements MoveWriteResult {}
}
