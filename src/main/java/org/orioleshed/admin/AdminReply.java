package org.orioleshed.admin;

import java.util.List;
import java.util.Optional;

/** What an entry host answers to an operator. */
public sealed interface AdminReply {
    /**
     * A table.
     *
     * @param columns the columns' names, in lower camel case with units
     * @param rows the rows, each as long as {@code columns}
     */
    record Table(List<String> columns, List<List<String>> rows) implements AdminReply {
        /** Copies the lists and checks the rows' lengths. */
        public Table {
            columns = List.copyOf(columns);
            rows = rows.stream().map(List::copyOf).toList();
            for (List<String> row : rows) {
                if (row.size() != columns.size()) {
                    throw new IllegalArgumentException("row as long as columns needed: " + row);
                }
            }
        }
    }

    /** A document, as JSON text; comments are allowed in it. */
    record Document(String json, long revision) implements AdminReply {}

    /** The change was accepted, at a revision of the store. */
    record Accepted(String id, long revision, String detail) implements AdminReply {}

    /** The input was turned down; nothing has changed. */
    record Rejected(List<Problem> problems) implements AdminReply {
        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }

    /** Another operator was faster; nothing has changed. */
    record Conflict(long revision, String difference) implements AdminReply {}

    /** There is no such thing. */
    record NotFound(String what) implements AdminReply {}

    /** The store is away; nothing has changed. */
    record StoreAway(String detail) implements AdminReply {}

    /** The store's answer was lost: the change may take effect. */
    record Unknown(String changeId, String detail) implements AdminReply {}

    /**
     * One thing wrong with the input.
     *
     * @param path where, names joined by dots
     * @param reason what is wrong
     * @param nearest the nearest known name, if any
     */
    record Problem(String path, String reason, Optional<String> nearest) {}
}
