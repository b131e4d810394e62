package org.orioleshed.request;

import java.util.Optional;
import org.orioleshed.model.Payload;
import org.orioleshed.model.PromptBlocks;
import org.orioleshed.request.RequestMessage.Piece;

/** Cuts text between tokens, a token being a run of characters without white space. */
final class TokenText {
    private TokenText() {}

    /**
     * Returns {@code piece} without its first {@code drop} tokens; empty when nothing is left or
     * the text does not hold as many tokens as the piece says.
     */
    static Optional<Piece> dropLeading(Piece piece, int drop) {
        if (drop <= 0) {
            return Optional.of(piece);
        }
        String text = piece.text().text();
        if (drop >= piece.count() || PromptBlocks.tokens(text) != piece.count()) {
            return Optional.empty();
        }
        boolean spaceLeads = Character.isWhitespace(text.charAt(0));
        int cut = spaceLeads ? endOf(text, drop) : startOf(text, drop);
        return Optional.of(
                new Piece(
                        piece.firstToken() + drop,
                        piece.count() - drop,
                        Payload.of(text.substring(cut))));
    }

    /** Returns where the {@code n}th token ends, counted from one. */
    private static int endOf(String text, int n) {
        int seen = 0;
        for (int i = 0; i < text.length(); i++) {
            boolean last = i + 1 == text.length() || Character.isWhitespace(text.charAt(i + 1));
            if (!Character.isWhitespace(text.charAt(i)) && last && ++seen == n) {
                return i + 1;
            }
        }
        return text.length();
    }

    /** Returns where the token after the {@code n}th starts. */
    private static int startOf(String text, int n) {
        int start = endOf(text, n);
        while (start < text.length() && Character.isWhitespace(text.charAt(start))) {
            start++;
        }
        return start;
    }
}
