package org.orioleshed.control;

import org.orioleshed.model.MoveId;
import org.orioleshed.move.MoveAction;

/**
 * What operators are told of a move.
 *
 * @param sequence grows by one with each notice of this host's incarnation, from one
 * @param move the move
 * @param kind what happened
 * @param epochMillis when, in milliseconds since 1970
 * @param detail a sentence
 */
public record MoveNotice(
        long sequence, MoveId move, MoveAction.Notice.Kind kind, long epochMillis, String detail) {}
