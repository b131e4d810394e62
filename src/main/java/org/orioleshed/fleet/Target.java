package org.orioleshed.fleet;

import org.orioleshed.model.ModelId;
import org.orioleshed.model.ServiceId;

/** What a backend server runs and a route maps to. */
public sealed interface Target {
    /**
     * A model on an engine.
     *
     * @param model the model
     */
    record Model(ModelId model) implements Target {}

    /**
     * A plain service.
     *
     * @param service the service
     */
    record Service(ServiceId service) implements Target {}
}
