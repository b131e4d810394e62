package org.orioleshed.fleet;

import java.util.Map;
import org.orioleshed.model.RouteId;

/**
 * A name that callers use, and the target that it maps to.
 *
 * @param id the name
 * @param target the model or service that serves it
 * @param calls for a service, each call's name and whether it is repeatable; empty for a model
 */
public record Route(RouteId id, Target target, Map<String, Boolean> calls) {
    /** Copies the map. */
    public Route {
        calls = Map.copyOf(calls);
    }
}
