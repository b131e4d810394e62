package org.orioleshed.admin;

import java.util.List;
import java.util.Optional;

/** The result of an admin operation on an entry host. */
public sealed interface AdminReply {
    /**
     * A table.
     *
     * @param columns the column names, in lower camel case with units
     * @param rows the rows, each with one cell per column
     */
    record Table(List<String> columns, List<List<String>> rows) implements AdminReply {
        /** Copies the lists and checks the row lengths. */
        public Table {
            columns = List.copyOf(columns);
            rows = rows.stream().map(List::copyOf).toList();
            for (List<String> row : rows) {
                if (row.size() != columns.size()) {
                    throw new IllegalArgumentException(
                            "row must have " + columns.size() + " cells, found " + row);
                }
            }
        }
    }

    /**
     * A document.
     *
     * @param json the JSON text, which may contain comments
     * @param revision the revision of the document
     */
    record Document(String json, long revision) implements AdminReply {}

    /**
     * The change was accepted.
     *
     * @param id the id of the change or rollout; empty if there is none
     * @param revision the revision of the settings; zero if there is none
     * @param detail the explanation for the operator
     */
    record Accepted(String id, long revision, String detail) implements AdminReply {}

    /** The input is invalid; nothing has changed. */
    record Rejected(List<Problem> problems) implements AdminReply {
        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The change conflicts with a concurrent one; nothing has changed.
     *
     * @param revision the revision in force; zero if there is none
     * @param difference a description of the conflicting change
     */
    record Conflict(long revision, String difference) implements AdminReply {}

    /** The object named by {@code what} does not exist. */
    record NotFound(String what) implements AdminReply {}

    /** The store is unavailable; nothing has changed. */
    record StoreUnavailable(String detail) implements AdminReply {}

    /** The store's answer was lost; the change may still take effect. */
    record Unknown(String changeId, String detail) implements AdminReply {}

    /**
     * A problem with the input.
     *
     * @param path the location, as names joined by dots
     * @param reason the explanation for the operator
     * @param nearest the valid name closest to the one given, if any
     */
    record Problem(String path, String reason, Optional<String> nearest) {}
}
