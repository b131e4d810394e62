package org.orioleshed.claim;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.claim.ClaimCodec.BadPageException;
import org.orioleshed.host.HostEvent.StoreAnswer;
import org.orioleshed.model.RequestKey;

/**
 * A page of older claims of one bucket.
 *
 * @param generation distinguishes the page from earlier ones in the same slot
 * @param version increases with each write of the page
 * @param records the claims
 */
record ClaimPage(long generation, int version, List<ClaimRecord> records) {
    /** Copies the list. */
    ClaimPage {
        records = List.copyOf(records);
    }

    /** Returns the page in a store answer; empty if there is none or it is malformed. */
    static Optional<ClaimPage> in(StoreAnswer answer) {
        if (!(answer instanceof StoreAnswer.Value value) || value.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(ClaimCodec.page(value.value().get()));
        } catch (BadPageException e) {
            return Optional.empty();
        }
    }

    /** Returns an upper bound of the encoded size. */
    int bytes() {
        return records.stream().mapToInt(ClaimRecord::bytes).sum();
    }

    /** Returns the next version of this page, with records added or replaced by key. */
    ClaimPage with(Collection<ClaimRecord> newer) {
        Map<RequestKey, ClaimRecord> merged = new LinkedHashMap<>();
        records.forEach(record -> merged.put(record.key(), record));
        newer.forEach(record -> merged.put(record.key(), record));
        return new ClaimPage(generation, version + 1, new ArrayList<>(merged.values()));
    }

    Optional<ClaimRecord> find(RequestKey key) {
        return records.stream().filter(record -> record.key().equals(key)).findFirst();
    }

    /** Returns the sorted hashes of the page's keys. */
    long[] index() {
        long[] hashes = new long[records.size()];
        for (int i = 0; i < hashes.length; i++) {
            hashes[i] = hash(records.get(i).key());
        }
        Arrays.sort(hashes);
        return hashes;
    }

    static long hash(RequestKey key) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key.workspace().value(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(key.key(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
