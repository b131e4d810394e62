package org.orioleshed.host;

import java.util.HashMap;
import java.util.Map;
import org.orioleshed.model.Outcome;
import org.orioleshed.model.Payload;
import org.orioleshed.model.Request;
import org.orioleshed.model.RequestId;
import org.orioleshed.model.Work;

/** The outcomes that a naive host gives without faults, as the expected values. */
final class NaiveReference {
    private final Map<RequestId, Outcome> expected = new HashMap<>();

    void expect(RequestId id, Request request) {
        Outcome outcome =
                request.work() instanceof Work.Generate
                        ? new Outcome.Answered(FakeEngines.length(request.body()), Payload.EMPTY)
                        : new Outcome.Answered(0, request.body());
        expected.put(id, outcome);
    }

    void check(FakeFleet fleet) {
        expected.forEach(
                (id, outcome) -> {
                    if (!outcome.equals(fleet.outcome(id))) {
                        throw new AssertionError(
                                id + ": naive " + outcome + ", got " + fleet.outcome(id));
                    }
                });
    }
}
