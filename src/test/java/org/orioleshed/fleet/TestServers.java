package org.orioleshed.fleet;

import java.net.URI;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ModelId;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.VersionId;

/** Backend servers for tests. */
public final class TestServers {
    private TestServers() {}

    /** Returns a server of a model at an address. */
    public static BackendServer at(URI address) {
        return new BackendServer(
                new ServerId("s"),
                new FailureDomain("d"),
                address,
                new Target.Model(new ModelId("m")),
                new VersionId("v1"),
                "g1",
                4,
                1_000,
                true,
                true,
                false);
    }
}
