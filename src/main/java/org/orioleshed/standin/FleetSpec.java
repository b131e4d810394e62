package org.orioleshed.standin;

import java.util.List;

/**
 * The stand-ins of one process.
 *
 * @param engines the model engines
 * @param services the plain services
 * @param store the store; null for none
 */
public record FleetSpec(List<EngineSpec> engines, List<ServiceSpec> services, StoreSpec store) {
    /** Copies the lists; a null list becomes empty. */
    public FleetSpec {
        engines = engines == null ? List.of() : List.copyOf(engines);
        services = services == null ? List.of() : List.copyOf(services);
    }
}
