package org.orioleshed.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.orioleshed.claim.ClaimCodec.BadPageException;
import org.orioleshed.claim.ClaimHead.PageRef;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.RequestKey;
import org.orioleshed.model.RunId;
import org.orioleshed.request.Claims;

/**
 * The claims of one bucket of keys. New ones are written in groups into the bucket's head, a single
 * key of the store, by compare-and-swap: so of two hosts that claim one key, one sees the other. A
 * full head is moved to a page first; pages are only ever added to, until they are older than the
 * retention.
 *
 * <p>One call on the store is under way at a time. A write whose answer is lost is settled by
 * reading the head back: a claim is there under its own run, or it is written again.
 */
final class Bucket {
    private static final long FIRST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int MAX_RETRY_BITS = 5;

    /** How many given-up claims are watched for landing late. */
    private static final int MAX_DISOWNED = 10_000;

    private final String prefix;
    private final ClaimLimits limits;
    private final StoreCalls store;
    private final PageIndex index = new PageIndex();
    private final Map<RunId, PendingClaim> claims = new LinkedHashMap<>();
    private final List<PendingClaim> lookUps = new ArrayList<>();
    private final Map<RunId, PendingOutcome> outcomes = new LinkedHashMap<>();

    /** Claims given up while a write of them was under way or its answer lost. */
    private final Map<RunId, RequestKey> disowned = new LinkedHashMap<>();

    private ClaimHead head;
    private long revision;
    private long headNanos;
    private boolean busy;
    private boolean pumping;
    private long registered;

    /** All that registered up to here may rely on the head as it is known. */
    private long fresh = -1;

    private long nextTryNanos;
    private int failures;

    /** An outcome to be written for a claimed run. */
    private record PendingOutcome(
            RequestKey key, RunId run, Outcome outcome, long dueNanos, Runnable written) {}

    Bucket(String prefix, ClaimLimits limits, StoreCalls store) {
        this.prefix = prefix;
        this.limits = limits;
        this.store = store;
    }

    void claim(
            long nowNanos,
            RequestKey key,
            RunId run,
            Optional<RunId> replaces,
            boolean own,
            PendingClaim.Settled settled) {
        long until = nowNanos + nanos(limits.waitMillis());
        claims.put(
                run,
                new PendingClaim(
                        key, Optional.of(run), replaces, own, until, ++registered, settled));
        pump(nowNanos);
    }

    void lookUp(long nowNanos, RequestKey key, PendingClaim.Settled settled) {
        long until = nowNanos + nanos(limits.waitMillis());
        lookUps.add(
                new PendingClaim(
                        key,
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        until,
                        ++registered,
                        settled));
        pump(nowNanos);
    }

    /** Takes the outcome of a run; one "not run" is claimed no more. */
    void record(long nowNanos, RequestKey key, RunId run, Outcome outcome, Runnable written) {
        if (outcome instanceof Outcome.NotRun) {
            claims.remove(run);
            if (outcomes.size() >= MAX_DISOWNED) {
                return;
            }
        }
        long due = nowNanos + nanos(limits.recordDelayMillis());
        outcomes.put(run, new PendingOutcome(key, run, outcome, due, written));
        pump(nowNanos);
    }

    /** Gives up on a claim; should it land all the same, its key is freed again. */
    void disown(RequestKey key, RunId run) {
        claims.remove(run);
        disowned.put(run, key);
        if (disowned.size() > MAX_DISOWNED) {
            disowned.remove(disowned.keySet().iterator().next());
        }
    }

    boolean isClaiming(RunId run) {
        return claims.containsKey(run);
    }

    boolean isIdle() {
        return claims.isEmpty() && outcomes.isEmpty() && (disowned.isEmpty() || !mayLand());
    }

    /** Returns whether a write was not heard of, so that a claim given up may stand unseen. */
    private boolean mayLand() {
        return busy || head == null;
    }

    /** Reads the head for the first time, or to see whether the store is back. */
    void probe(long nowNanos) {
        if (!busy) {
            readHead(nowNanos);
        }
    }

    boolean isLoaded() {
        return head != null && index.missing(head.pages()).isEmpty();
    }

    void tick(long nowNanos) {
        expire(nowNanos, claims.values().iterator());
        expire(nowNanos, lookUps.iterator());
        pump(nowNanos);
    }

    private void expire(long nowNanos, Iterator<PendingClaim> all) {
        List<PendingClaim> late = new ArrayList<>();
        while (all.hasNext()) {
            PendingClaim claim = all.next();
            if (nowNanos >= claim.untilNanos || store.isAway()) {
                all.remove();
                late.add(claim);
            }
        }
        for (PendingClaim claim : late) {
            if (claim.own) {
                claim.run.ifPresent(run -> disown(claim.key, run));
            }
            claim.settled.settled(nowNanos, new Claims.Result.Away());
        }
    }

    /** Does the next thing that is due, unless a call on the store is under way. */
    private void pump(long nowNanos) {
        if (pumping || busy || nowNanos < nextTryNanos || !hasWork(nowNanos)) {
            return;
        }
        pumping = true;
        step(nowNanos);
        pumping = false;
    }

    private void step(long nowNanos) {
        if (head == null || needsFreshHead()) {
            readHead(nowNanos);
            return;
        }
        Optional<PageRef> missing = index.missing(head.pages());
        if (missing.isPresent()) {
            readPage(nowNanos, missing.get(), page -> {});
            return;
        }
        if (settleLookUps(nowNanos) || busy) {
            return;
        }
        write(nowNanos);
    }

    private boolean hasWork(long nowNanos) {
        return !claims.isEmpty()
                || !lookUps.isEmpty()
                || (head == null && !disowned.isEmpty() && !store.isAway())
                || outcomes.values().stream().anyMatch(o -> nowNanos >= o.dueNanos());
    }

    /** Returns whether a question waits that the head as known is too old for. */
    private boolean needsFreshHead() {
        for (PendingClaim lookUp : lookUps) {
            if (lookUp.registered > fresh) {
                return true;
            }
        }
        for (PendingClaim claim : claims.values()) {
            ClaimRecord present = head.records().get(claim.key);
            if (claim.registered > fresh
                    && present != null
                    && present.outcome().isEmpty()
                    && !present.run().equals(claim.run.orElseThrow())) {
                return true;
            }
        }
        return false;
    }

    private void readHead(long nowNanos) {
        busy = true;
        long upTo = registered;
        store.read(
                nowNanos,
                prefix,
                (now, answer) -> {
                    busy = false;
                    if (answer instanceof StoreAnswer.Value value && adopt(now, value)) {
                        fresh = upTo;
                        succeeded();
                    } else {
                        failed(now);
                    }
                    pump(now);
                });
    }

    private boolean adopt(long nowNanos, StoreAnswer.Value value) {
        if (head != null && value.revision() < revision) {
            return false;
        }
        boolean changed = head == null || value.revision() != revision;
        if (!changed) {
            return true;
        }
        try {
            head =
                    value.value().isPresent()
                            ? ClaimCodec.head(value.value().get())
                            : ClaimHead.EMPTY;
        } catch (BadPageException e) {
            return false;
        }
        revision = value.revision();
        headNanos = nowNanos;
        index.retain(head.pages());
        claims.values().forEach(claim -> claim.cleared.clear());
        lookUps.forEach(lookUp -> lookUp.cleared.clear());
        settleLanded(nowNanos);
        return true;
    }

    /** Settles what the head shows to be written. */
    private void settleLanded(long nowNanos) {
        for (PendingClaim claim : List.copyOf(claims.values())) {
            RunId run = claim.run.orElseThrow();
            ClaimRecord present = head.records().get(claim.key);
            if (present != null && present.run().equals(run)) {
                claims.remove(run);
                claim.settled.settled(nowNanos, new Claims.Result.Owned());
            }
        }
        for (Map.Entry<RunId, RequestKey> entry : List.copyOf(disowned.entrySet())) {
            ClaimRecord present = head.records().get(entry.getValue());
            if (present != null && present.run().equals(entry.getKey())) {
                disowned.remove(entry.getKey());
                Outcome never = new Outcome.NotRun(Outcome.NotRunReason.STORE_AWAY, 0);
                outcomes.putIfAbsent(
                        entry.getKey(),
                        new PendingOutcome(
                                entry.getValue(), entry.getKey(), never, nowNanos, () -> {}));
            }
        }
        for (PendingOutcome outcome : List.copyOf(outcomes.values())) {
            ClaimRecord present = head.records().get(outcome.key());
            if (present != null
                    && present.run().equals(outcome.run())
                    && present.outcome().isPresent()) {
                outcomes.remove(outcome.run());
                outcome.written().run();
            }
        }
    }

    /** Takes a page that was read. */
    private interface PageReader {
        void read(ClaimPage page);
    }

    private void readPage(long nowNanos, PageRef ref, PageReader reader) {
        busy = true;
        store.read(
                nowNanos,
                pageKey(ref.slot()),
                (now, answer) -> {
                    busy = false;
                    Optional<ClaimPage> page = decode(answer);
                    boolean named =
                            page.isPresent()
                                    && page.get().generation() == ref.generation()
                                    && page.get().version() >= ref.version();
                    if (named) {
                        succeeded();
                        index.put(page.get());
                        reader.read(page.get());
                    } else {
                        head = answer instanceof StoreAnswer.Value ? null : head;
                        failed(now);
                    }
                    pump(now);
                });
    }

    private static Optional<ClaimPage> decode(StoreAnswer answer) {
        if (!(answer instanceof StoreAnswer.Value value) || value.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(ClaimCodec.page(value.value().get()));
        } catch (BadPageException e) {
            return Optional.empty();
        }
    }

    /** Settles look-ups; returns whether a page has to be read first. */
    private boolean settleLookUps(long nowNanos) {
        for (PendingClaim lookUp : List.copyOf(lookUps)) {
            Verdict verdict = judge(lookUp);
            switch (verdict) {
                case Verdict.Free free -> settle(nowNanos, lookUp, new Claims.Result.Free());
                case Verdict.Taken taken -> settle(nowNanos, lookUp, taken.result());
                case Verdict.AskPage ask -> {
                    readPage(nowNanos, ask.page(), page -> clear(nowNanos, lookUp, page));
                    return true;
                }
            }
        }
        return false;
    }

    private void settle(long nowNanos, PendingClaim claim, Claims.Result result) {
        lookUps.remove(claim);
        claim.run.ifPresent(claims::remove);
        claim.settled.settled(nowNanos, result);
    }

    /** What is known of a key. */
    private sealed interface Verdict {
        /** Nothing is in the way of a claim. */
        record Free() implements Verdict {}

        /** Another run has the key. */
        record Taken(ClaimRecord present) implements Verdict {
            Claims.Result result() {
                return new Claims.Result.Taken(present.run(), present.outcome());
            }
        }

        /** A page may hold the key and has to be read. */
        record AskPage(PageRef page) implements Verdict {}
    }

    private Verdict judge(PendingClaim claim) {
        ClaimRecord present = head.records().get(claim.key);
        if (present != null) {
            return mayTake(claim, present) ? new Verdict.Free() : new Verdict.Taken(present);
        }
        long hash = ClaimPage.hash(claim.key);
        for (PageRef page : head.pages().reversed()) {
            if (index.mayHold(page, hash) && !claim.cleared.contains(page.generation())) {
                return new Verdict.AskPage(page);
            }
        }
        return new Verdict.Free();
    }

    private static boolean mayTake(PendingClaim claim, ClaimRecord present) {
        return claim.replaces.filter(present.run()::equals).isPresent();
    }

    /** Settles a claim by the page that may hold its key, or clears that page for it. */
    private void clear(long nowNanos, PendingClaim claim, ClaimPage page) {
        Optional<ClaimRecord> present = page.find(claim.key);
        if (present.isEmpty()) {
            claim.cleared.add(page.generation());
            return;
        }
        if (mayTake(claim, present.get())) {
            head.pages().stream()
                    .filter(ref -> ref.generation() <= page.generation())
                    .forEach(ref -> claim.cleared.add(ref.generation()));
            return;
        }
        boolean own = claim.run.filter(present.get().run()::equals).isPresent();
        Claims.Result result =
                own
                        ? new Claims.Result.Owned()
                        : new Claims.Result.Taken(present.get().run(), present.get().outcome());
        settle(nowNanos, claim, result);
    }

    private void write(long nowNanos) {
        long clock = head.clockMillis() + millis(nowNanos - headNanos);
        Group group = new Group(head.at(clock, limits.retentionMillis()));
        for (PendingClaim claim : List.copyOf(claims.values())) {
            switch (judge(claim)) {
                case Verdict.Taken taken -> settle(nowNanos, claim, taken.result());
                case Verdict.AskPage ask -> {
                    readPage(nowNanos, ask.page(), page -> clear(nowNanos, claim, page));
                    return;
                }
                case Verdict.Free free -> {
                    RunId run = claim.run.orElseThrow();
                    group.claim(new ClaimRecord(claim.key, run, clock, Optional.empty()));
                }
            }
        }
        outcomes.values().forEach(outcome -> group.end(outcome, clock));
        boolean due = group.ends.stream().anyMatch(o -> nowNanos >= o.dueNanos());
        if (group.claims > 0 || due) {
            swapHead(nowNanos, group.next, group.ends);
            return;
        }
        if (group.full) {
            moveToPage(nowNanos, Optional.empty());
        }
    }

    /** What goes into one write of the head. */
    private final class Group {
        final ClaimHead next;
        final List<PendingOutcome> ends = new ArrayList<>();
        int claims;
        int bytes;
        boolean full;

        Group(ClaimHead next) {
            this.next = next;
            this.bytes = next.bytes();
        }

        void claim(ClaimRecord record) {
            if (put(record)) {
                claims++;
            }
        }

        void end(PendingOutcome outcome, long clock) {
            ClaimRecord present = next.records().get(outcome.key());
            // A claim "not run" may have been replaced by one that moved to a page since: a record
            // anew would hide that one. The key's next claimant asks the host instead.
            boolean replaced =
                    present == null
                            ? outcome.outcome() instanceof Outcome.NotRun
                            : !present.run().equals(outcome.run());
            if (replaced) {
                ends.add(outcome);
                return;
            }
            ClaimRecord base =
                    present != null
                            ? present
                            : new ClaimRecord(
                                    outcome.key(), outcome.run(), clock, Optional.empty());
            if (put(base.with(outcome.outcome()))) {
                ends.add(outcome);
            }
        }

        private boolean put(ClaimRecord record) {
            ClaimRecord present = next.records().get(record.key());
            int more = record.bytes() - (present == null ? 0 : present.bytes());
            if (bytes + more > limits.headBytes()) {
                full = true;
                return false;
            }
            bytes += more;
            next.records().put(record.key(), record);
            return true;
        }
    }

    private void swapHead(long nowNanos, ClaimHead next, List<PendingOutcome> ends) {
        busy = true;
        store.swap(
                nowNanos,
                prefix,
                revision,
                ClaimCodec.encode(next),
                (now, answer) -> {
                    busy = false;
                    if (answer instanceof StoreAnswer.Swapped swapped) {
                        succeeded();
                        head = next;
                        headNanos = nowNanos;
                        revision = swapped.revision();
                        index.retain(head.pages());
                        nextTryNanos = nowNanos + nanos(limits.spacingMillis());
                        ends.forEach(end -> outcomes.remove(end.run(), end));
                        ends.forEach(end -> end.written().run());
                        settleLanded(now);
                    } else {
                        swapFailed(now, answer);
                    }
                    pump(now);
                });
    }

    private void swapFailed(long nowNanos, StoreAnswer answer) {
        if (answer instanceof StoreAnswer.Conflict conflict) {
            succeeded();
            head = null;
            if (!adopt(nowNanos, new StoreAnswer.Value(conflict.value(), conflict.revision()))) {
                failed(nowNanos);
            }
            return;
        }
        head = null;
        failed(nowNanos);
    }

    /** Moves the head's claims to the newest page, or to a new one. */
    private void moveToPage(long nowNanos, Optional<PageRef> full) {
        ClaimHead moved = head;
        boolean startNew = moved.pages().isEmpty() || full.isPresent();
        PageRef target =
                startNew
                        ? new PageRef(moved.freeSlot(), moved.nextGeneration(), 0, 0)
                        : moved.pages().getLast();
        busy = true;
        store.read(
                nowNanos,
                pageKey(target.slot()),
                (now, answer) -> {
                    busy = false;
                    if (answer instanceof StoreAnswer.Value value) {
                        succeeded();
                        movePage(now, moved, target, startNew, value);
                    } else {
                        failed(now);
                    }
                    pump(now);
                });
    }

    private void movePage(
            long nowNanos,
            ClaimHead moved,
            PageRef target,
            boolean startNew,
            StoreAnswer.Value value) {
        Optional<ClaimPage> present = decode(value);
        long found = present.map(ClaimPage::generation).orElse(0L);
        boolean usable = startNew ? found <= target.generation() : found == target.generation();
        if (!usable) {
            head = null;
            failed(nowNanos);
            return;
        }
        ClaimPage base =
                found == target.generation()
                        ? present.orElseThrow()
                        : new ClaimPage(target.generation(), 0, List.of());
        ClaimPage next = base.with(moved.records().values());
        if (!startNew && next.bytes() > limits.pageBytes()) {
            moveToPage(nowNanos, Optional.of(target));
            return;
        }
        busy = true;
        store.swap(
                nowNanos,
                pageKey(target.slot()),
                value.revision(),
                ClaimCodec.encode(next),
                (now, answer) -> {
                    busy = false;
                    if (answer instanceof StoreAnswer.Swapped) {
                        succeeded();
                        index.put(next);
                        emptyHead(now, moved, target, next);
                    } else {
                        head = null;
                        failed(now);
                    }
                    pump(now);
                });
    }

    private void emptyHead(long nowNanos, ClaimHead moved, PageRef target, ClaimPage page) {
        long clock = moved.clockMillis() + millis(nowNanos - headNanos);
        List<PageRef> pages = new ArrayList<>(moved.pages());
        pages.removeIf(ref -> ref.generation() == target.generation());
        pages.add(new PageRef(target.slot(), page.generation(), page.version(), clock));
        long nextGeneration = Math.max(moved.nextGeneration(), page.generation() + 1);
        ClaimHead empty = new ClaimHead(clock, nextGeneration, Map.of(), List.copyOf(pages));
        swapHead(nowNanos, empty, List.of());
    }

    private void succeeded() {
        failures = 0;
    }

    private void failed(long nowNanos) {
        nextTryNanos = nowNanos + (FIRST_RETRY_NANOS << Math.min(failures, MAX_RETRY_BITS));
        failures++;
    }

    private String pageKey(int slot) {
        return prefix + "/" + slot;
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
