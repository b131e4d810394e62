package org.orioleshed.rollout;

import org.orioleshed.model.RouteId;

/** What versions are compared within. */
record Cell(RouteId route, LoadBand band) {}
