package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import poppynotch.register.RegisterValue;
import poppynotch.wire.DepartureRetention;
import poppynotch.wire.Message;
import poppynotch.wire.RolloutReport;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** Guards against servers that an edge uses though replicas have forgotten that they left. */
class ControlClientTest {

    private static final long CONTROL_INCARNATION = 77;

    /** A connection to a replica that holds the polls until the test replies. */
    private static final class HeldConnection implements ControlConnector.Connection {
        private final ControlConnector.ConnectionListener listener;
        private Message.Poll poll;

        HeldConnection(ControlConnector.ConnectionListener listener) {
            this.listener = listener;
        }

        @Override
        public void send(Message message) {
            poll = (Message.Poll) message;
        }

        @Override
        public void close() {}

        void reply(boolean full, boolean complete, String... ids) {
            listener.onMessage(
                    this,
                    new Message.PollReply(
                            poll.pollId(),
                            CONTROL_INCARNATION,
                            0,
                            null,
                            full,
                            complete,
                            5,
                            Arrays.stream(ids).map(ControlClientTest::server).toList(),
                            1,
                            0,
                            1,
                            List.of(),
                            List.of(),
                            List.of()));
        }
    }

    /** An edge that records its servers. */
    private final class RecordingListener implements ControlClient.Listener {

        @Override
        public void onConfiguration(RegisterValue value) {}

        @Override
        public void onServersChanged(Collection<ServerRecord> servers) {
            serverIds = servers.stream().map(ServerRecord::id).sorted().toList();
        }

        @Override
        public void onEdgePosition(int edgeCount, int edgeNumber) {}

        @Override
        public void onEdgeAddressesChanged(List<String> addresses) {}

        @Override
        public void onConfirmed(long upToMs) {}

        @Override
        public List<RolloutReport> rolloutReports() {
            return List.of();
        }

        @Override
        public Map<String, Long> usageSinceStart() {
            return Map.of();
        }

        @Override
        public long receivedRevision() {
            return -1;
        }

        @Override
        public void onUsageByOthers(
                long upToMs, Map<String, Long> others, int reporting, boolean continuous) {}
    }

    private long nowMs = 1000;
    private List<String> serverIds = List.of();
    private final List<HeldConnection> connections = new ArrayList<>();
    private final List<HeldConnection> unopened = new ArrayList<>();
    private final ControlClient client =
            new ControlClient(
                    "edge",
                    "10.0.0.1:1",
                    1,
                    () -> nowMs,
                    (address, listener) -> {
                        HeldConnection connection = new HeldConnection(listener);
                        connections.add(connection);
                        unopened.add(connection);
                    },
                    new RecordingListener());

    private static ServerRecord server(String id) {
        return new ServerRecord(id, "s", "10.0.0.1:80", "z", 4, ServerState.READY, 1);
    }

    private HeldConnection latestConnection() {
        return connections.get(connections.size() - 1);
    }

    @BeforeEach
    void connectAndListTwoServers() {
        client.addSeeds(List.of("10.0.0.9:1"));
        tick();
        latestConnection().reply(true, true, "a", "b");
        assertThat(serverIds).containsExactly("a", "b");
    }

    private void tick() {
        client.tick();
        unopened.forEach(connection -> connection.listener.onConnected(connection));
        unopened.clear();
    }

    private void reconnectAfter(long absenceMs) {
        nowMs += absenceMs;
        tick();
        tick();
    }

    @Test
    void keepsKnownServersAfterShortAbsence() {
        reconnectAfter(DepartureRetention.MAX_TRUSTED_ABSENCE_MS);
        latestConnection().reply(true, false, "a");
        assertThat(serverIds).containsExactly("a", "b");
    }

    @Test
    void distrustsKnownServersAfterLongAbsence() {
        reconnectAfter(DepartureRetention.MAX_TRUSTED_ABSENCE_MS + 1);
        latestConnection().reply(true, false, "a");
        assertThat(serverIds).containsExactly("a");
    }

    /**
     * The process was frozen: a reply of before is read first, on a connection that still works.
     */
    @Test
    void requestsAllServersOnConnectionThatSurvivedLongAbsence() {
        HeldConnection survivor = latestConnection();
        nowMs += DepartureRetention.MAX_TRUSTED_ABSENCE_MS + 1;
        survivor.reply(false, true);
        assertThat(serverIds).containsExactly("a", "b");
        survivor.reply(false, true);
        assertThat(survivor.poll.controlIncarnation()).isEqualTo(0);
        survivor.reply(true, false, "b");
        assertThat(serverIds).containsExactly("b");
    }
}
