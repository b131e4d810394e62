package org.orioleshed.claim;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.claim.ClaimCodec.BadPageException;
import org.orioleshed.claim.ClaimHead.PageRef;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.Payload;

/** A bucket's head as it was last read or written, and which keys its pages may hold. */
final class KnownHead {
    private final PageIndex index = new PageIndex();
    private ClaimHead head;
    private long revision;
    private long atNanos;

    /** What came of taking over a head that was read. */
    enum Adoption {
        /** It is unreadable, or older than the one known. */
        REFUSED,
        /** It is the one known. */
        SAME,
        /** It is another one, known from now on. */
        CHANGED
    }

    /** Returns whether the head is known; else it must be read before anything else is asked. */
    boolean isKnown() {
        return head != null;
    }

    ClaimHead head() {
        return head;
    }

    long revision() {
        return revision;
    }

    /** Returns the bucket's clock, which the head carries, at a time of this host's clock. */
    long clockMillis(long nowNanos) {
        return head.clockMillis() + TimeUnit.NANOSECONDS.toMillis(nowNanos - atNanos);
    }

    /** Returns a page that the head names and that was not read yet as it names it. */
    Optional<PageRef> missingPage() {
        return index.missing(head.pages());
    }

    void forget() {
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

    /** Takes over a head that was read or written. */
    void set(long nowNanos, ClaimHead now, long nowRevision) {
        head = now;
        revision = nowRevision;
        atNanos = nowNanos;
        index.retain(now.pages());
    }

    /** Takes over a page that was read or written. */
    void learn(ClaimPage page) {
        index.put(page);
    }

    /** Returns what is known of the key of a claim or look-up. */
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
