package org.orioleshed.membership;

import com.google.common.hash.Hashing;

/**
 * What the platform's list says of an entry host or a backend server.
 *
 * @param kind what the list is of
 * @param id the host's or server's id
 * @param leaving whether it must get no new work
 * @param revision the store's revision of the list's entry; the highest wins
 */
public record PlatformMark(Kind kind, String id, boolean leaving, long revision) {
    /** The platform's two lists. */
    public enum Kind {
        /** Entry hosts. */
        HOST,
        /** Backend servers. */
        SERVER
    }

    /** What a mark is about. */
    record Subject(Kind kind, String id) {}

    /** Checks the arguments. */
    public PlatformMark {
        if (id.isBlank()) {
            throw new IllegalArgumentException("id must not be blank");
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
