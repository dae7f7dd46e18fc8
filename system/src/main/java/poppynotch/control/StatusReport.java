package poppynotch.control;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.util.Comparator;
import java.util.List;
import poppynotch.wire.RecordChannel;
import poppynotch.wire.ServerRecord;

/** What one core process knows, as JSON for operators. */
final class StatusReport {

    private final long nowMs;
    private final String self;
    private final RegisterReplica register;
    private final ServerRegistry registry;
    private final EdgeDirectory edges;
    private final PeerNetwork peers;
    private final QuorumContact contact;
    private final boolean fenced;

    StatusReport(
            long nowMs,
            String self,
            RegisterReplica register,
            ServerRegistry registry,
            EdgeDirectory edges,
            PeerNetwork peers,
            QuorumContact contact,
            boolean fenced) {
        this.nowMs = nowMs;
        this.self = self;
        this.register = register;
        this.registry = registry;
        this.edges = edges;
        this.peers = peers;
        this.contact = contact;
        this.fenced = fenced;
    }

    String json() {
        JsonProvider json = JsonProvider.provider();
        JsonArrayBuilder cores = json.createArrayBuilder();
        for (String core : peers.known()) {
            long age = contact.ageMs(nowMs, core);
            cores.add(
                    json.createObjectBuilder()
                            .add("Address", core)
                            .add("LastContactMs", age)
                            .add("Acceptor", register.acceptors().contains(core)));
        }
        JsonArrayBuilder servers = json.createArrayBuilder();
        List<ServerRecord> sorted =
                registry.living().stream()
                        .sorted(
                                Comparator.comparing(ServerRecord::backend)
                                        .thenComparing(ServerRecord::id))
                        .toList();
        sorted.forEach(
                server ->
                        servers.add(
                                json.createObjectBuilder()
                                        .add("Id", server.id())
                                        .add("Backend", server.backend())
                                        .add("Address", server.address())
                                        .add("Zone", server.zone())
                                        .add("State", server.state().name())));
        JsonObjectBuilder page =
                json.createObjectBuilder()
                        .add("Self", self)
                        .add("HasQuorum", !fenced)
                        .add("MayVote", register.mayVote())
                        .add(
                                "Revision",
                                register.chosen()
                                        .map(chosen -> chosen.value().revision())
                                        .orElse(-1L))
                        .add(
                                "Generation",
                                register.chosen()
                                        .map(chosen -> chosen.value().generation())
                                        .orElse(0L))
                        .add("RecordBytesSent", RecordChannel.bytesSent())
                        .add("RecordBytesReceived", RecordChannel.bytesReceived())
                        .add("RegistryComplete", registry.isComplete(nowMs))
                        .add("Cores", cores)
                        .add("Edges", json.createArrayBuilder(edges.present(nowMs)))
                        .add("Servers", servers);
        return page.build().toString();
    }
}
