package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** Guards against drains and removals that are acknowledged before enough replicas keep them. */
class RegistryReplicatorTest {

    private static final long HEARTBEAT_MS = 1000;
    private static final String SELF = "a:1";

    /** The peers of the replica, which record what is sent to them. */
    private final class RecordingPeers implements PeerNetwork {
        private final Map<String, List<Message>> sent = new HashMap<>();

        @Override
        public void addPeer(String address, long nowMs) {}

        @Override
        public List<String> knownReplicas() {
            return reachable;
        }

        @Override
        public List<String> reachableReplicas(long nowMs, long withinMs) {
            return reachable;
        }

        @Override
        public void send(String peer, Message message) {
            sent.computeIfAbsent(peer, key -> new ArrayList<>()).add(message);
        }

        @Override
        public void sendToAll(Message message) {
            reachable.stream()
                    .filter(peer -> !peer.equals(SELF))
                    .forEach(peer -> send(peer, message));
        }

        @Override
        public long nextHeartbeatSequence(long nowMs) {
            return 1;
        }

        @Override
        public long onHeartbeatReply(String peer, long sequence) {
            return -1;
        }

        @Override
        public void tick(long nowMs) {}
    }

    private List<String> reachable = List.of(SELF, "b:1", "c:1", "d:1");
    private AcceptorSet acceptors = AcceptorSet.of(List.of(SELF, "b:1", "c:1"));
    private final RecordingPeers peers = new RecordingPeers();
    private final ServerRegistry registry = new ServerRegistry(0, HEARTBEAT_MS);
    private final List<Runnable> writes = new ArrayList<>();
    private final List<Boolean> results = new ArrayList<>();
    private final RegistryReplicator replicator =
            new RegistryReplicator(
                    SELF,
                    registry,
                    (state, onPersisted) -> writes.add(onPersisted),
                    peers,
                    () -> acceptors,
                    () -> false,
                    () -> {});

    private static ServerRecord server(ServerState state, long sequence) {
        return new ServerRecord("i", "s", "10.0.0.1:80", "z", 4, state, sequence);
    }

    private void finishWrites() {
        List<Runnable> finished = List.copyOf(writes);
        writes.clear();
        finished.forEach(Runnable::run);
    }

    /** The id of the latest request that a peer was asked to acknowledge. */
    private long latestRequest(String peer) {
        return peers.sent.get(peer).stream()
                .filter(message -> message instanceof Message.ServersChanged)
                .mapToLong(message -> ((Message.ServersChanged) message).requestId())
                .max()
                .orElseThrow();
    }

    @Test
    void removalIsAcknowledgedOnceMajorityHasItOnDisk() {
        replicator.deregister(0, "i", results::add);
        replicator.onAcknowledged("b:1", latestRequest("b:1"));
        replicator.onAcknowledged("d:1", latestRequest("d:1"));
        assertThat(results).isEmpty();
        finishWrites();
        assertThat(results).containsExactly(true);
    }

    /** The replicas without a vote may be most of all replicas, and be down together. */
    @Test
    void removalIsNotAcknowledgedWithoutQuorumOfAcceptors() {
        reachable = List.of(SELF, "b:1", "c:1", "d:1", "e:1", "f:1");
        replicator.deregister(0, "i", results::add);
        long request = latestRequest("b:1");
        finishWrites();
        List.of("d:1", "e:1", "f:1").forEach(peer -> replicator.onAcknowledged(peer, request));
        assertThat(results).isEmpty();
        replicator.onAcknowledged("c:1", request);
        assertThat(results).containsExactly(true);
    }

    @Test
    void quorumOfBothSetsIsNeededWhileAcceptorsChange() {
        acceptors = new AcceptorSet(List.of(SELF, "c:1", "d:1"), List.of(SELF, "b:1", "e:1"));
        reachable = List.of(SELF, "c:1", "d:1");
        replicator.deregister(0, "i", results::add);
        long request = latestRequest("c:1");
        finishWrites();
        replicator.onAcknowledged("c:1", request);
        replicator.onAcknowledged("d:1", request);
        assertThat(results).isEmpty();
        replicator.onAcknowledged("b:1", request);
        assertThat(results).containsExactly(true);
    }

    @Test
    void drainThatCannotBeStoredIsRejectedInTime() {
        replicator.register(0, server(ServerState.DRAINING, 1), results::add);
        replicator.onAcknowledged("b:1", latestRequest("b:1"));
        replicator.tick(899);
        assertThat(results).isEmpty();
        replicator.tick(900);
        assertThat(results).containsExactly(false);
    }

    @Test
    void acknowledgesRelayedRemovalOnceItIsOnDisk() {
        Message.ServersChanged removal =
                new Message.ServersChanged(7, List.of(server(ServerState.LEFT, 1)));
        replicator.onServersChanged(0, "b:1", removal);
        assertThat(peers.sent).isEmpty();
        finishWrites();
        assertThat(peers.sent.get("b:1")).containsExactly(new Message.ServersAcknowledged(7));
        replicator.onServersChanged(10, "b:1", removal);
        assertThat(peers.sent.get("b:1")).hasSize(2);
    }

    @Test
    void registrationNeedsNoWrite() {
        replicator.register(0, server(ServerState.READY, 1), results::add);
        assertThat(results).containsExactly(true);
        replicator.onServersChanged(
                0, "b:1", new Message.ServersChanged(7, List.of(server(ServerState.READY, 1))));
        assertThat(peers.sent.get("b:1")).contains(new Message.ServersAcknowledged(7));
        assertThat(writes).isEmpty();
    }

    /** Guards against an acknowledgement of the second drain by the replication of the first. */
    @Test
    void secondDrainOfServerIsReplicatedAgain() {
        replicator.register(0, server(ServerState.DRAINING, 1), results::add);
        finishWrites();
        long first = latestRequest("b:1");
        replicator.onAcknowledged("b:1", first);
        replicator.onAcknowledged("c:1", first);
        assertThat(results).containsExactly(true);
        replicator.register(100, server(ServerState.READY, 2), result -> {});
        replicator.register(200, server(ServerState.DRAINING, 3), results::add);
        finishWrites();
        assertThat(results).containsExactly(true);
        long second = latestRequest("b:1");
        replicator.onAcknowledged("b:1", second);
        replicator.onAcknowledged("c:1", second);
        assertThat(results).containsExactly(true, true);
    }

    @Test
    void sendsDeparturesFirstToConnectedPeer() {
        replicator.onPeerConnected("b:1");
        assertThat(peers.sent).isEmpty();
        registry.restore(0, List.of(server(ServerState.DRAINING, 1)));
        replicator.onPeerConnected("b:1");
        assertThat(peers.sent.get("b:1"))
                .containsExactly(
                        new Message.ServersChanged(0, List.of(server(ServerState.DRAINING, 1))));
    }

    /** A peer's departures are kept, so that a loss of the peer's disk does not lose them. */
    @Test
    void storesDeparturesOfSnapshot() {
        replicator.applySnapshot(
                0, new Message.RegistrySnapshot(true, List.of(server(ServerState.LEFT, 1))));
        assertThat(writes).hasSize(1);
        assertThat(registry.departures()).containsExactly(server(ServerState.LEFT, 1));
    }
}
