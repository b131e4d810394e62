package org.orioleshed.membership;

import com.google.common.hash.Hashing;

/**
 * An entry of the platform's lists: whether an entry host or a backend server is leaving.
 *
 * @param kind which of the lists the entry is from
 * @param id the id of the host or server
 * @param leaving whether it must receive no new work
 * @param revision the store's revision of the list's entry; the highest revision wins
 */
public record PlatformMark(Kind kind, String id, boolean leaving, long revision) {
    /** The platform's two lists. */
    public enum Kind {
        /** Entry hosts. */
        HOST,
        /** Backend servers. */
        SERVER
    }

    /** The host or server that a mark refers to. */
    record Subject(Kind kind, String id) {}

    /**
     * Checks the id.
     *
     * @throws IllegalArgumentException if {@code id} is blank
     */
    public PlatformMark {
        if (id.isBlank()) {
            throw new IllegalArgumentException("id of a " + kind + " mark must not be blank");
        }
    }

    Subject subject() {
        return new Subject(kind, id);
    }

    long digest() {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(kind.name())
                .putUnencodedChars(id)
                .putBoolean(leaving)
                .putLong(revision)
                .hash()
                .asLong();
    }
}
