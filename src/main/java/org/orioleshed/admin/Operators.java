package org.orioleshed.admin;

import java.util.List;
import java.util.Optional;
import org.orioleshed.settings.BearerKey;
import org.orioleshed.settings.Operator;

/** Finds the operator that a bearer key belongs to. */
final class Operators {
    private final List<Operator> all;

    Operators(List<Operator> all) {
        this.all = List.copyOf(all);
    }

    /** Returns the operator of an {@code Authorization} header, in time that tells nothing. */
    Optional<Operator> find(String authorization) {
        return BearerKey.of(authorization).flatMap(this::find);
    }

    private Optional<Operator> find(BearerKey key) {
        Optional<Operator> found = Optional.empty();
        for (Operator operator : all) {
            if (key.hasHash(operator.keyHash())) {
                found = Optional.of(operator);
            }
        }
        return found;
    }
}
