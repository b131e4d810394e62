package org.orioleshed.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/**
 * The entry host's own file.
 *
 * @param host the host's id
 * @param domain its failure domain
 * @param callerAddress where it listens for callers
 * @param peerAddress where it listens for other entry hosts
 * @param adminAddress where it listens for operators; empty when the admin API is off
 * @param peers entry hosts to ask for the fleet when the store is away
 * @param storeAddresses base addresses of the platform's key-value service, at least one
 * @param operators who may use the admin API
 * @param drainMillis the longest that a graceful stop waits for running requests, in milliseconds
 * @param policy which decisions to use
 */
public record EntrySettings(
        HostId host,
        FailureDomain domain,
        InetSocketAddress callerAddress,
        InetSocketAddress peerAddress,
        Optional<InetSocketAddress> adminAddress,
        List<PeerSeed> peers,
        List<URI> storeAddresses,
        List<Operator> operators,
        long drainMillis,
        Policy policy) {
    /** Copies the lists. */
    public EntrySettings {
        peers = List.copyOf(peers);
        storeAddresses = List.copyOf(storeAddresses);
        operators = List.copyOf(operators);
    }

    /** Which decisions an entry host uses. */
    public enum Policy {
        /** The product's own. */
        ORIOLESHED,
        /** Round robin, first come first served: there to compare with. */
        NAIVE
    }

    /** What came of reading a file. */
    public sealed interface Result {
        /** The file is good. */
        record Loaded(EntrySettings settings) implements Result {}

        /** The file is not good: all that is wrong with it. */
        record Problems(List<Problem> problems) implements Result {
            /** Copies the list. */
            public Problems {
                problems = List.copyOf(problems);
            }
        }
    }

    /** Reads a file and checks it whole. */
    public static Result load(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            return new Result.Problems(
                    List.of(Problem.of("", file, "a file that can be read as UTF-8: " + e)));
        }
    }

    /** Reads a file's text and checks it whole. */
    public static Result parse(String text) {
        List<Problem> problems = new ArrayList<>();
        ObjectNode file = JsonText.parseObject(text, problems);
        if (file == null) {
            return new Result.Problems(problems);
        }
        new SchemaCheck(problems).check(Schema.ENTRY, file, "", SchemaCheck.Extent.WHOLE);
        ObjectNode whole = Inheritance.withDefaults(Schema.ENTRY, file);
        if (problems.isEmpty()) {
            checkPeers(whole, problems);
        }
        if (problems.isEmpty() && whole.path("store").path("addresses").isEmpty()) {
            problems.add(Problem.missing("/store/addresses/0", "at least one address"));
        }
        return problems.isEmpty() ? new Result.Loaded(build(whole)) : new Result.Problems(problems);
    }

    private static void checkPeers(JsonNode file, List<Problem> problems) {
        Set<String> seen = new HashSet<>();
        JsonNode peers = file.path("peers");
        for (int i = 0; i < peers.size(); i++) {
            String id = peers.get(i).get("id").textValue();
            if (!seen.add(id)) {
                problems.add(Problem.of("/peers/" + i + "/id", id, "each peer once"));
            }
        }
    }

    private static EntrySettings build(JsonNode file) {
        JsonNode addresses = file.get("addresses");
        List<PeerSeed> peers = new ArrayList<>();
        file.get("peers").forEach(peer -> peers.add(buildPeer(peer)));
        List<URI> stores = new ArrayList<>();
        file.get("store").get("addresses").forEach(a -> stores.add(URI.create(a.textValue())));
        List<Operator> operators = new ArrayList<>();
        file.get("operators").forEach(operator -> operators.add(buildOperator(operator)));
        return new EntrySettings(
                new HostId(file.get("host").get("id").textValue()),
                new FailureDomain(file.get("host").get("domain").textValue()),
                address(addresses.get("caller")),
                address(addresses.get("peer")),
                Optional.ofNullable(addresses.get("admin")).map(EntrySettings::address),
                peers,
                stores,
                operators,
                file.get("drainMillis").longValue(),
                Policy.valueOf(file.get("policy").textValue().toUpperCase(Locale.ROOT)));
    }

    private static PeerSeed buildPeer(JsonNode peer) {
        return new PeerSeed(
                new HostId(peer.get("id").textValue()),
                new FailureDomain(peer.get("domain").textValue()),
                address(peer.get("peerAddress")));
    }

    private static Operator buildOperator(JsonNode operator) {
        String role = operator.path("role").asText("read");
        return new Operator(
                operator.get("name").textValue(),
                operator.get("keyHash").textValue(),
                Operator.Role.valueOf(role.toUpperCase(Locale.ROOT)));
    }

    private static InetSocketAddress address(JsonNode node) {
        return HostPorts.parse(node.textValue()).orElseThrow();
    }
}
