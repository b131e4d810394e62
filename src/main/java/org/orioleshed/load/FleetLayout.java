package org.orioleshed.load;

import java.util.ArrayList;
import java.util.List;
import org.orioleshed.standin.EngineSpec;
import org.orioleshed.standin.FleetSpec;
import org.orioleshed.standin.ServiceSpec;
import org.orioleshed.standin.StoreSpec;

/**
 * The processes of an experiment and their loopback addresses.
 *
 * @param deployment the deployment that sets sizes and workload
 * @param basePort the port of the store; all other ports are offsets from it
 * @param newVersion whether to add an equal number of engines of a new version
 */
record FleetLayout(Deployment deployment, int basePort, boolean newVersion) {
    static final String OLD_VERSION = "v1";
    static final String NEW_VERSION = "v2";

    private static final int CALLER_PORT_OFFSET = 10;
    private static final int PEER_PORT_OFFSET = 40;
    private static final int ADMIN_PORT_OFFSET = 70;
    private static final int ENGINE_PORT_OFFSET = 100;
    private static final int SERVICE_PORT_OFFSET = 180;
    private static final int WRITES_PER_SECOND = 500;
    private static final int READS_PER_SECOND = 2_000;
    private static final int MAX_BATCH = 24;
    private static final int CACHE_TOKENS = 60_000;
    private static final int CALL_MILLIS = 20;

    /** An entry host with the addresses of its listeners. */
    record Host(String id, String domain, String caller, String peer, String admin) {
        String callerUrl() {
            return "http://" + caller;
        }

        String adminUrl() {
            return "http://" + admin;
        }
    }

    /** A backend server; its target is the name of a model or of a service. */
    record Server(
            String id,
            String domain,
            int port,
            boolean isModel,
            String target,
            String version,
            Generation generation) {
        String url() {
            return "http://" + loopbackAddress(port);
        }
    }

    String storeUrl() {
        return "http://" + loopbackAddress(basePort);
    }

    List<Host> hosts() {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < deployment.hosts(); i++) {
            hosts.add(
                    new Host(
                            deployment.memberName("host", i),
                            deployment.domain(i),
                            loopbackAddress(basePort + CALLER_PORT_OFFSET + i),
                            loopbackAddress(basePort + PEER_PORT_OFFSET + i),
                            loopbackAddress(basePort + ADMIN_PORT_OFFSET + i)));
        }
        return hosts;
    }

    List<Server> engines() {
        List<Server> servers = new ArrayList<>();
        int count = newVersion ? 2 * deployment.engines() : deployment.engines();
        for (int i = 0; i < count; i++) {
            int index = i % deployment.engines();
            boolean isNew = i >= deployment.engines();
            servers.add(
                    new Server(
                            deployment.memberName(isNew ? "new" : "engine", index),
                            deployment.domain(index),
                            basePort + ENGINE_PORT_OFFSET + i,
                            true,
                            deployment.model(),
                            isNew ? NEW_VERSION : OLD_VERSION,
                            deployment.costless() ? Generation.COSTLESS : Generation.of(index)));
        }
        return servers;
    }

    List<Server> services() {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < deployment.services(); i++) {
            servers.add(
                    new Server(
                            deployment.memberName("service", i),
                            deployment.domain(i),
                            basePort + SERVICE_PORT_OFFSET + i,
                            false,
                            deployment.serviceRoute(),
                            OLD_VERSION,
                            Generation.G1));
        }
        return servers;
    }

    List<Server> servers() {
        List<Server> servers = new ArrayList<>(engines());
        servers.addAll(services());
        return servers;
    }

    FleetSpec standinSpec() {
        List<EngineSpec> engines = engines().stream().map(FleetLayout::engineSpec).toList();
        List<ServiceSpec> services =
                services().stream()
                        .map(service -> new ServiceSpec(service.id(), service.port(), CALL_MILLIS))
                        .toList();
        StoreSpec store = new StoreSpec(basePort, WRITES_PER_SECOND, READS_PER_SECOND);
        return new FleetSpec(engines, services, store);
    }

    private static EngineSpec engineSpec(Server server) {
        Generation generation = server.generation();
        return new EngineSpec(
                server.id(),
                server.port(),
                server.target(),
                server.version(),
                generation.stepMillis,
                generation.stepMillisPerRun,
                generation.prefillTokensPerSecond,
                MAX_BATCH,
                CACHE_TOKENS,
                true);
    }

    private static String loopbackAddress(int port) {
        return "127.0.0.1:" + port;
    }
}
