package org.orioleshed.claim;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.claim.ClaimCodec.BadPageException;
import org.orioleshed.claim.ClaimHead.PageRef;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.Payload;

/** A bucket's head as last read or written, and an index of the keys in its pages. */
final class CachedHead {
    private final PageIndex index = new PageIndex();
    private ClaimHead head;
    private long revision;
    private long updatedNanos;

    /** The result of adopting a head that was read. */
    enum Adoption {
        /** The head is malformed, or older than the cached one. */
        REFUSED,
        /** The head is the cached one. */
        SAME,
        /** The head is newer and replaces the cached one. */
        CHANGED
    }

    /** Returns whether a head is cached; otherwise it has to be read first. */
    boolean isLoaded() {
        return head != null;
    }

    ClaimHead head() {
        return head;
    }

    long revision() {
        return revision;
    }

    /** Returns the bucket's clock, which is stored in the head, at a time of this host's clock. */
    long clockMillis(long nowNanos) {
        return head.clockMillis() + TimeUnit.NANOSECONDS.toMillis(nowNanos - updatedNanos);
    }

    /** Returns a page referenced by the head that is not indexed at the referenced version. */
    Optional<PageRef> missingPage() {
        return index.missing(head.pages());
    }

    void invalidate() {
        head = null;
    }

    Adoption adopt(long nowNanos, StoreAnswer.Value value) {
        if (head != null && value.revision() < revision) {
            return Adoption.REFUSED;
        }
        if (head != null && value.revision() == revision) {
            return Adoption.SAME;
        }
        Optional<ClaimHead> read = decode(value.value());
        if (read.isEmpty()) {
            return Adoption.REFUSED;
        }
        set(nowNanos, read.get(), value.revision());
        return Adoption.CHANGED;
    }

    private static Optional<ClaimHead> decode(Optional<Payload> value) {
        if (value.isEmpty()) {
            return Optional.of(ClaimHead.EMPTY);
        }
        try {
            return Optional.of(ClaimCodec.head(value.get()));
        } catch (BadPageException e) {
            return Optional.empty();
        }
    }

    /** Caches a head that was read or written. */
    void set(long nowNanos, ClaimHead newHead, long newRevision) {
        head = newHead;
        revision = newRevision;
        updatedNanos = nowNanos;
        index.retain(newHead.pages());
    }

    /** Indexes a page that was read or written. */
    void addPage(ClaimPage page) {
        index.put(page);
    }

    /** Returns the state of the key of a claim or lookup. */
    KeyState stateFor(PendingClaim claim) {
        ClaimRecord present = head.records().get(claim.key);
        if (present != null) {
            return claim.mayReplace(present) ? new KeyState.Free() : new KeyState.Taken(present);
        }
        long hash = ClaimPage.hash(claim.key);
        for (PageRef page : head.pages().reversed()) {
            if (index.mayHold(page, hash) && !claim.cleared.contains(page.generation())) {
                return new KeyState.InPage(page);
            }
        }
        return new KeyState.Free();
    }

    /** Returns the generations of all pages up to {@code last}. */
    List<Long> generationsUpTo(long last) {
        return head.pages().stream()
                .map(PageRef::generation)
                .filter(generation -> generation <= last)
                .toList();
    }
}
