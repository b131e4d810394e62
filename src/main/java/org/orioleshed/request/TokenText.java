package org.orioleshed.request;

import java.util.Optional;
import org.orioleshed.model.Payload;
import org.orioleshed.model.PromptBlocks;
import org.orioleshed.request.RequestMessage.Piece;

/** Splits text at token boundaries; a token is a sequence of characters without white space. */
final class TokenText {
    private TokenText() {}

    /**
     * Returns {@code piece} without its first {@code drop} tokens; empty if nothing is left or the
     * text does not have {@code piece.count()} tokens.
     */
    static Optional<Piece> dropLeading(Piece piece, int drop) {
        if (drop <= 0) {
            return Optional.of(piece);
        }
        String text = piece.text().text();
        if (drop >= piece.count() || PromptBlocks.tokens(text) != piece.count()) {
            return Optional.empty();
        }
        boolean startsWithSpace = Character.isWhitespace(text.charAt(0));
        int cut = startsWithSpace ? endOf(text, drop) : startOf(text, drop);
        return Optional.of(
                new Piece(
                        piece.firstToken() + drop,
                        piece.count() - drop,
                        Payload.of(text.substring(cut))));
    }

    /** Returns the index after the {@code n}th token, counted from one. */
    private static int endOf(String text, int n) {
        int ended = 0;
        for (int i = 0; i < text.length(); i++) {
            boolean lastOfToken =
                    i + 1 == text.length() || Character.isWhitespace(text.charAt(i + 1));
            if (!Character.isWhitespace(text.charAt(i)) && lastOfToken && ++ended == n) {
                return i + 1;
            }
        }
        return text.length();
    }

    /** Returns the index of the first character of the token after the {@code n}th. */
    private static int startOf(String text, int n) {
        int start = endOf(text, n);
        while (start < text.length() && Character.isWhitespace(text.charAt(start))) {
            start++;
        }
        return start;
    }
}
