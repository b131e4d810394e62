package org.orioleshed.model;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against a tier order in which two tiers outrank each other. */
class TierProperties {
    @Property(seed = "1")
    boolean outranksIsAStrictOrder(@ForAll @IntRange int a, @ForAll @IntRange int b) {
        return !(new Tier("a", a).outranks(new Tier("b", b))
                && new Tier("b", b).outranks(new Tier("a", a)));
    }
}
