package org.orioleshed.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.membership.MembershipEvent;
import org.orioleshed.membership.PlatformMark;
import org.orioleshed.model.HostId;
import org.orioleshed.model.Payload;
import org.orioleshed.settings.HostPorts;
import org.orioleshed.store.Store;
import org.orioleshed.store.StoreRevision;

/** The platform's lists of live and leaving hosts and servers. */
final class PlatformLists {
    /** The key prefix of both lists. */
    static final String PREFIX = "platform/";

    private static final String HOSTS = PREFIX + "hosts/";
    private static final String SERVERS = PREFIX + "servers/";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, InetSocketAddress> addressByHost = new LinkedHashMap<>();
    private final Set<String> keys = new HashSet<>();

    /** Replaces the content of both lists; returns the resulting membership events. */
    List<MembershipEvent> replaceAll(Store.Result.Entries entries) {
        List<MembershipEvent> events = new ArrayList<>();
        Set<String> removed = new HashSet<>(keys);
        for (Store.Entry entry : entries.entries()) {
            removed.remove(entry.key());
            events.addAll(update(entry.key(), Optional.of(entry.value()), entry.revision()));
        }
        for (String key : removed) {
            events.addAll(update(key, Optional.empty(), entries.storeRevision()));
        }
        return events;
    }

    /** Updates one entry; an empty value means that the key was deleted. */
    List<MembershipEvent> update(String key, Optional<Payload> value, StoreRevision revision) {
        boolean host = key.startsWith(HOSTS);
        String id = key.substring(host ? HOSTS.length() : Math.min(key.length(), SERVERS.length()));
        if (id.isBlank() || !(host || key.startsWith(SERVERS))) {
            return List.of();
        }
        if (value.isPresent()) {
            keys.add(key);
        } else {
            keys.remove(key);
        }
        JsonNode entry = value.map(PlatformLists::parse).orElse(null);
        boolean leaving = entry == null || entry.path("state").asText().equals("leaving");
        if (host) {
            updateAddress(id, entry);
        }
        PlatformMark.Kind kind = host ? PlatformMark.Kind.HOST : PlatformMark.Kind.SERVER;
        PlatformMark mark = new PlatformMark(kind, id, leaving, revision.number());
        return List.of(new MembershipEvent.Marked(mark));
    }

    /** Returns the listed entry hosts with their peer addresses. */
    List<MembershipEvent.Seed> seeds() {
        List<MembershipEvent.Seed> seeds = new ArrayList<>();
        addressByHost.forEach(
                (id, address) -> seeds.add(new MembershipEvent.Seed(new HostId(id), address)));
        return seeds;
    }

    private void updateAddress(String id, JsonNode entry) {
        if (entry == null) {
            addressByHost.remove(id);
            return;
        }
        HostPorts.parse(entry.path("peerAddress").asText())
                .ifPresent(address -> addressByHost.put(id, address));
    }

    private static JsonNode parse(Payload value) {
        try {
            return MAPPER.readTree(value.text());
        } catch (JsonProcessingException e) {
            return MAPPER.createObjectNode();
        }
    }
}
