package org.orioleshed.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.orioleshed.request.RequestMessage.Piece;

/**
 * The part of a model's answer received so far, each token once and in order. Pieces that arrive
 * ahead of a missing one are buffered until it is received.
 */
final class Transcript {

    private final List<Piece> pieces = new ArrayList<>();
    private final TreeMap<Integer, Piece> outOfOrder = new TreeMap<>();
    private int tokens;
    private int bytes;

    /** Returns the number of contiguous tokens received. */
    int tokens() {
        return tokens;
    }

    /** Returns the size of the contiguous text, in bytes. */
    int bytes() {
        return bytes;
    }

    /** Returns the contiguous pieces, in order. */
    List<Piece> pieces() {
        return pieces;
    }

    /** Returns whether a buffered piece waits for a missing one. */
    boolean hasGap() {
        return !outOfOrder.isEmpty();
    }

    /** Drops the pieces after a gap, as their run has ended. */
    void dropOutOfOrder() {
        outOfOrder.clear();
    }

    /**
     * Adds a piece and returns the pieces that became contiguous, in order. A piece that starts
     * more than {@code windowTokens} tokens beyond a gap is dropped.
     */
    List<Piece> add(Piece piece, int windowTokens) {
        if (piece.count() < 1 || endOf(piece) <= tokens) {
            return List.of();
        }
        if (piece.firstToken() > tokens) {
            if (piece.firstToken() <= tokens + windowTokens) {
                outOfOrder.merge(
                        piece.firstToken(), piece, (a, b) -> a.count() >= b.count() ? a : b);
            }
            return List.of();
        }
        List<Piece> added = new ArrayList<>();
        append(piece, added);
        while (!outOfOrder.isEmpty() && outOfOrder.firstKey() <= tokens) {
            append(outOfOrder.pollFirstEntry().getValue(), added);
        }
        return added;
    }

    private void append(Piece piece, List<Piece> added) {
        Optional<Piece> rest = TokenText.dropLeading(piece, tokens - piece.firstToken());
        if (rest.isEmpty()) {
            return;
        }
        pieces.add(rest.get());
        added.add(rest.get());
        tokens = endOf(rest.get());
        bytes += rest.get().text().size();
    }

    private static int endOf(Piece piece) {
        return piece.firstToken() + piece.count();
    }
}
