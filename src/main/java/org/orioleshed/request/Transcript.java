package org.orioleshed.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.orioleshed.request.RequestMessage.Piece;

/**
 * The answer of a model as far as it is known: tokens in order, each once. Pieces that arrive ahead
 * of a missing one are kept until it comes.
 */
final class Transcript {

    private final List<Piece> pieces = new ArrayList<>();
    private final TreeMap<Integer, Piece> ahead = new TreeMap<>();
    private int tokens;
    private int bytes;

    /** Returns the number of tokens known without a gap. */
    int tokens() {
        return tokens;
    }

    /** Returns the size of the known text in bytes. */
    int bytes() {
        return bytes;
    }

    /** Returns the parts known without a gap, in order. */
    List<Piece> pieces() {
        return pieces;
    }

    /** Returns whether a piece waits for a missing one before it. */
    boolean hasGap() {
        return !ahead.isEmpty();
    }

    /** Forgets the pieces behind a gap, as their run is over. */
    void dropAhead() {
        ahead.clear();
    }

    /**
     * Takes a piece and returns the new parts that may be delivered, in order. A piece behind a gap
     * that starts more than {@code window} tokens ahead is dropped.
     */
    List<Piece> add(Piece piece, int window) {
        if (piece.count() < 1 || endOf(piece) <= tokens) {
            return List.of();
        }
        if (piece.firstToken() > tokens) {
            if (piece.firstToken() <= tokens + window) {
                ahead.merge(piece.firstToken(), piece, (a, b) -> a.count() >= b.count() ? a : b);
            }
            return List.of();
        }
        List<Piece> fresh = new ArrayList<>();
        append(piece, fresh);
        while (!ahead.isEmpty() && ahead.firstKey() <= tokens) {
            append(ahead.pollFirstEntry().getValue(), fresh);
        }
        return fresh;
    }

    private void append(Piece piece, List<Piece> fresh) {
        Optional<Piece> rest = TokenText.dropLeading(piece, tokens - piece.firstToken());
        if (rest.isEmpty()) {
            return;
        }
        pieces.add(rest.get());
        fresh.add(rest.get());
        tokens = endOf(rest.get());
        bytes += rest.get().text().size();
    }

    private static int endOf(Piece piece) {
        return piece.firstToken() + piece.count();
    }
}
