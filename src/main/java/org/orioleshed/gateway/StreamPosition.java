package org.orioleshed.gateway;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * How far a stream of events was passed on to its caller, by the ids of the events.
 *
 * @param lastId the id of the last event that has one; empty if none had
 * @param ids the number of events that had an id
 * @param numbered whether each id was one more than the id before it
 */
record StreamPosition(Optional<String> lastId, int ids, boolean numbered) {
    /** The position of a stream of which nothing was passed on. */
    static final StreamPosition START = new StreamPosition(Optional.empty(), 0, true);

    /** The longest number that is always below the maximum of a {@code long}. */
    private static final int MAX_DIGITS = 18;

    /** With fewer ids, it is open whether the next one must be one more. */
    private static final int MIN_NUMBERED_IDS = 2;

    /** Returns the position after an event with an id. */
    StreamPosition after(String id) {
        OptionalLong last = lastNumber();
        OptionalLong number = parse(id);
        boolean isNext = last.isEmpty() || isOneMore(last.getAsLong(), number);
        return new StreamPosition(
                Optional.of(id), ids + 1, numbered && number.isPresent() && isNext);
    }

    private static boolean isOneMore(long last, OptionalLong number) {
        return number.isPresent() && number.getAsLong() == last + 1;
    }

    /**
     * Returns whether an event with an id goes on after this position, so that no event comes twice
     * and, where the events are numbered, none is missing.
     */
    boolean isFollowedBy(String id) {
        OptionalLong last = lastNumber();
        OptionalLong number = parse(id);
        if (last.isEmpty() || number.isEmpty()) {
            return false;
        }
        if (numbered && ids >= MIN_NUMBERED_IDS) {
            return isOneMore(last.getAsLong(), number);
        }
        return number.getAsLong() > last.getAsLong();
    }

    private OptionalLong lastNumber() {
        return lastId.map(StreamPosition::parse).orElse(OptionalLong.empty());
    }

    private static OptionalLong parse(String id) {
        if (id.isEmpty() || id.length() > MAX_DIGITS) {
            return OptionalLong.empty();
        }
        long number = 0;
        for (int i = 0; i < id.length(); i++) {
            int digit = id.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return OptionalLong.empty();
            }
            number = number * 10 + digit;
        }
        return OptionalLong.of(number);
    }
}
