package org.orioleshed.rollout;

import org.orioleshed.model.RouteId;

/** Runs of the two versions are compared only within the same route and load band. */
record Stratum(RouteId route, LoadBand band) {}
