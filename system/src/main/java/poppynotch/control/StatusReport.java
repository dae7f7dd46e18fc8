package poppynotch.control;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import poppynotch.wire.RecordChannel;
import poppynotch.wire.ServerRecord;

/**
 * The state known to one control-plane replica, as JSON for operators and the {@code status}
 * command. Tools parse the report: its keys must not change.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread.
 */
final class StatusReport {

    private final JsonProvider json = JsonProvider.provider();
    private final String self;
    private final RegisterReplica register;
    private final ServerRegistry registry;
    private final EdgeDirectory edges;
    private final PeerNetwork peers;
    private final QuorumContact contact;
    private final QuorumLease quorumLease;

    StatusReport(
            String self,
            RegisterReplica register,
            ServerRegistry registry,
            EdgeDirectory edges,
            PeerNetwork peers,
            QuorumContact contact,
            QuorumLease quorumLease) {
        this.self = self;
        this.register = register;
        this.registry = registry;
        this.edges = edges;
        this.peers = peers;
        this.contact = contact;
        this.quorumLease = quorumLease;
    }

    /**
     * The report at {@code nowMs}.
     *
     * @param apiCallsByStatus numbers of API calls by the HTTP status of their responses
     * @param services the versions of the services' servers
     */
    String json(long nowMs, Map<Integer, Long> apiCallsByStatus, List<ServiceStatus> services) {
        return json.createObjectBuilder()
                .add("Self", self)
                .add("HasQuorum", !quorumLease.wasExpiredAtLastCheck())
                .add("MayVote", register.mayVote())
                .add("Revision", register.chosenRevision())
                .add(
                        "Generation",
                        register.chosen().map(chosen -> chosen.value().generation()).orElse(0L))
                .add("RecordBytesSent", RecordChannel.bytesSent())
                .add("RecordBytesReceived", RecordChannel.bytesReceived())
                .add("ApiCallsByStatus", counts(apiCallsByStatus))
                .add("RegistryComplete", registry.isComplete(nowMs))
                .add("Cores", replicas(nowMs))
                .add("Edges", json.createArrayBuilder(edges.liveNames(nowMs)))
                .add("Servers", servers())
                .add("Services", services(services))
                .build()
                .toString();
    }

    private JsonObjectBuilder counts(Map<Integer, Long> countsByStatus) {
        JsonObjectBuilder counts = json.createObjectBuilder();
        countsByStatus.forEach((status, count) -> counts.add(status.toString(), count));
        return counts;
    }

    private JsonArrayBuilder replicas(long nowMs) {
        JsonArrayBuilder replicas = json.createArrayBuilder();
        for (String address : peers.knownReplicas()) {
            replicas.add(
                    json.createObjectBuilder()
                            .add("Address", address)
                            .add("LastContactMs", contact.contactAgeMs(nowMs, address))
                            .add("Acceptor", register.acceptors().contains(address)));
        }
        return replicas;
    }

    private JsonArrayBuilder servers() {
        JsonArrayBuilder servers = json.createArrayBuilder();
        registry.liveServers().stream()
                .sorted(Comparator.comparing(ServerRecord::backend).thenComparing(ServerRecord::id))
                .forEach(server -> servers.add(describe(server)));
        return servers;
    }

    private JsonArrayBuilder services(List<ServiceStatus> services) {
        JsonArrayBuilder described = json.createArrayBuilder();
        services.forEach(service -> described.add(describe(service)));
        return described;
    }

    private JsonObjectBuilder describe(ServiceStatus service) {
        JsonObjectBuilder described =
                json.createObjectBuilder()
                        .add("Backend", service.versions().backend())
                        .add("ServingVersion", service.versions().servingVersion());
        service.versions()
                .rollout()
                .ifPresent(
                        rollout ->
                                described.add(
                                        "Rollout",
                                        json.createObjectBuilder()
                                                .add("State", rollout.state().wireName())
                                                .add("TargetVersion", rollout.targetVersion())
                                                .add("TermMs", rollout.termMs())
                                                .add("ElapsedMs", service.elapsedMs())
                                                .add(
                                                        "Exposure",
                                                        ExposureText.of(rollout.exposure()))
                                                .add("TargetAttempts", service.targetAttempts())
                                                .add("Attempts", service.attempts())));
        return described;
    }

    private JsonObjectBuilder describe(ServerRecord server) {
        return json.createObjectBuilder()
                .add("Id", server.id())
                .add("Backend", server.backend())
                .add("Address", server.address())
                .add("Zone", server.zone())
                .add("State", server.state().name())
                .add("Version", server.version());
    }
}
