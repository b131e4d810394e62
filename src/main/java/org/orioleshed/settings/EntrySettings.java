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
 * The configuration file of an entry host.
 *
 * @param host the host's id
 * @param domain its failure domain
 * @param callerAddress the listen address for callers
 * @param peerAddress the listen address for other entry hosts
 * @param adminAddress the listen address of the admin API; empty when it is disabled
 * @param peers entry hosts to contact for the fleet's state when the store is unavailable
 * @param storeAddresses base addresses of the platform's key-value service, at least one
 * @param operators operators with access to the admin API
 * @param drainMillis the maximum time that a graceful stop waits for running requests, in
 *     milliseconds
 * @param policy the scheduling policy
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

    /** The scheduling policy of an entry host. */
    public enum Policy {
        /** The scheduler of this project. */
        ORIOLESHED,
        /** Round robin and first come, first served; a baseline for comparison. */
        NAIVE
    }

    /** The result of reading a file. */
    public sealed interface Result {
        /** The file is valid. */
        record Loaded(EntrySettings settings) implements Result {}

        /** The file is invalid; lists every problem found. */
        record Problems(List<Problem> problems) implements Result {
            /** Copies the list. */
            public Problems {
                problems = List.copyOf(problems);
            }
        }
    }

    /** Reads and validates a file. */
    public static Result load(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            return new Result.Problems(
                    List.of(Problem.of("", file, "a readable file in UTF-8: " + e)));
        }
    }

    /** Parses and validates the text of a file. */
    public static Result parse(String text) {
        List<Problem> problems = new ArrayList<>();
        ObjectNode file = JsonText.parseObject(text, problems);
        if (file == null) {
            return new Result.Problems(problems);
        }
        new SchemaValidator(problems)
                .check(Schema.ENTRY, file, "", SchemaValidator.Completeness.COMPLETE);
        ObjectNode complete = Inheritance.withDefaults(Schema.ENTRY, file);
        if (problems.isEmpty()) {
            checkPeers(complete, problems);
        }
        if (problems.isEmpty() && complete.path("store").path("addresses").isEmpty()) {
            problems.add(Problem.missing("/store/addresses/0", "at least one address"));
        }
        return problems.isEmpty()
                ? new Result.Loaded(build(complete))
                : new Result.Problems(problems);
    }

    private static void checkPeers(JsonNode file, List<Problem> problems) {
        Set<String> seen = new HashSet<>();
        JsonNode peers = file.path("peers");
        for (int i = 0; i < peers.size(); i++) {
            String id = peers.get(i).get("id").textValue();
            if (!seen.add(id)) {
                problems.add(
                        Problem.of("/peers/" + i + "/id", id, "a peer id that occurs only once"));
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
