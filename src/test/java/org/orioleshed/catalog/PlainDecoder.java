package org.orioleshed.catalog;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.ServerId;
import org.orioleshed.model.ServiceId;
import org.orioleshed.model.VersionId;
import org.orioleshed.model.WorkspaceId;
import org.orioleshed.store.StoreRevision;

/**
 * A decoder of plain text. A configuration is its version, optionally followed by a slash and the
 * quota per second of one workspace. A server entry is "draining", "bad" (malformed), or any other
 * text, optionally followed by an at sign and the failure domain. Outcomes are written by name.
 */
public final class PlainDecoder implements CatalogDecoder {
    /** The only pool. */
    public static final ServiceId SERVICE = new ServiceId("s");

    /** The only workspace. */
    public static final WorkspaceId WORKSPACE = new WorkspaceId("w");

    private final int slots;

    /** Creates a decoder whose servers have {@code slots} slots each. */
    public PlainDecoder(int slots) {
        this.slots = slots;
    }

    @Override
    public String configKey() {
        return "op/config";
    }

    @Override
    public String operatorPrefix() {
        return "op/";
    }

    @Override
    public String serversPrefix() {
        return "servers/";
    }

    @Override
    public Catalog config(byte[] value) throws BadCatalogException {
        String text = new String(value, StandardCharsets.UTF_8);
        int slash = text.indexOf('/');
        try {
            return slash < 0
                    ? catalog(Long.parseLong(text), Map.of())
                    : catalog(
                            Long.parseLong(text.substring(0, slash)),
                            workspaces(Double.parseDouble(text.substring(slash + 1))));
        } catch (NumberFormatException e) {
            throw new BadCatalogException(
                    "configuration must be a version or version/quota, found " + text, e);
        }
    }

    private static Catalog catalog(long version, Map<WorkspaceId, WorkspaceConfig> workspaces) {
        AccessRule access = new AccessRule.KeyHolders(Map.of(), workspaces);
        return new Catalog(version, Map.of(), Map.of(), access, CallerLimits.DEFAULT);
    }

    private static Map<WorkspaceId, WorkspaceConfig> workspaces(double perSecond) {
        Quota quota = new Quota(perSecond, perSecond, true, 1);
        return Map.of(WORKSPACE, new WorkspaceConfig(WORKSPACE, Optional.empty(), quota));
    }

    @Override
    public PoolServer server(String key, byte[] value) throws BadCatalogException {
        String text = new String(value, StandardCharsets.UTF_8);
        int at = text.indexOf('@');
        if (text.equals("bad")) {
            throw new BadCatalogException("malformed server entry: " + key);
        }
        return new PoolServer(
                new ServerId(key),
                SERVICE,
                new InetSocketAddress("10.0.0.1", 1),
                new FailureDomain(at < 0 ? "d" : text.substring(at + 1)),
                new VersionId("v"),
                slots,
                text.startsWith("draining"),
                0);
    }

    @Override
    public Optional<FailureDomain> evacuated(String key) {
        String prefix = "op/evacuate/";
        return key.startsWith(prefix)
                ? Optional.of(new FailureDomain(key.substring(prefix.length())))
                : Optional.empty();
    }

    @Override
    public Optional<RolloutOrder> order(String key, byte[] value, StoreRevision revision) {
        return Optional.of(new RolloutOrder(SERVICE, new VersionId("v2"), 1_000, revision));
    }

    @Override
    public String outcomeKey(ServiceId service) {
        return "outcome/" + service;
    }

    @Override
    public byte[] encodeOutcome(RolloutOrder order, RolloutOutcome outcome) {
        return outcome.name().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public Optional<RolloutOutcome> outcome(RolloutOrder order, byte[] value) {
        return Optional.of(RolloutOutcome.valueOf(new String(value, StandardCharsets.UTF_8)));
    }
}
