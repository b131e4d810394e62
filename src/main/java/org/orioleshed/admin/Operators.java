package org.orioleshed.admin;

import java.util.List;
import java.util.Optional;
import org.orioleshed.settings.BearerKey;
import org.orioleshed.settings.Operator;

/** Maps bearer keys to operators. */
final class Operators {
    private final List<Operator> operators;

    Operators(List<Operator> operators) {
        this.operators = List.copyOf(operators);
    }

    /**
     * Returns the operator of an {@code Authorization} header. The duration does not depend on
     * which operator matches, which prevents timing attacks.
     */
    Optional<Operator> find(String authorization) {
        return BearerKey.of(authorization).flatMap(this::find);
    }

    private Optional<Operator> find(BearerKey key) {
        Optional<Operator> found = Optional.empty();
        for (Operator operator : operators) {
            if (key.hasHash(operator.keyHash())) {
                found = Optional.of(operator);
            }
        }
        return found;
    }
}
