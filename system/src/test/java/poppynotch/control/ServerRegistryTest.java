package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.wire.DepartureRetention;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** Guards against servers that stay listed after their removal or expiry, or are added again. */
class ServerRegistryTest {

    private static final long HEARTBEAT_MS = 1000;
    private final ServerRegistry registry = new ServerRegistry(0, HEARTBEAT_MS);

    private static ServerRecord server(String id, ServerState state, long sequence) {
        return new ServerRecord(id, "s", "10.0.0.1:80", "z", 4, state, sequence);
    }

    @Test
    void reportsUnchangedHeartbeatAsRenewalOnly() {
        assertThat(registry.apply(0, server("a", ServerState.READY, 1))).isTrue();
        assertThat(registry.apply(1000, server("a", ServerState.READY, 2))).isFalse();
        assertThat(registry.drainRenewals()).hasSize(1);
        assertThat(registry.drainRenewals()).isEmpty();
    }

    @Test
    void ignoresLateHeartbeatOfServerThatDrainsOrHasLeft() {
        registry.apply(0, server("a", ServerState.READY, 1));
        registry.apply(10, server("a", ServerState.DRAINING, 3));
        assertThat(registry.apply(20, server("a", ServerState.READY, 2))).isFalse();
        registry.deregister(30, "a");
        assertThat(registry.apply(40, server("a", ServerState.READY, 9))).isFalse();
        assertThat(registry.liveServers()).isEmpty();
    }

    /** Other replicas may list a server that is removed at a replica that does not know it. */
    @Test
    void keepsTombstoneOfUnknownServer() {
        ServerRecord left = registry.deregister(0, "a");
        assertThat(left.state()).isEqualTo(ServerState.LEFT);
        assertThat(registry.apply(10, server("a", ServerState.READY, 5))).isFalse();
        assertThat(registry.applyRelayed(10, server("a", ServerState.READY, 5))).isFalse();
        assertThat(registry.liveServers()).isEmpty();
        assertThat(registry.changesSince(0)).containsExactly(left);
    }

    /** Records that two replicas exchange repeatedly must not renew the lease of a server. */
    @Test
    void doesNotRenewLeaseByRelayedRecord() {
        registry.apply(0, server("a", ServerState.READY, 3));
        registry.applyRelayed(3000, server("a", ServerState.READY, 3));
        assertThat(registry.tick(4400)).isTrue();
        assertThat(registry.liveServers()).isEmpty();
    }

    @Test
    void givesRelayedServerShortLeaseAndDoesNotRelayIt() {
        registry.applyRelayed(0, server("a", ServerState.READY, 3));
        assertThat(registry.liveServers()).hasSize(1);
        assertThat(registry.directlyObserved()).isEmpty();
        registry.tick(2300);
        assertThat(registry.liveServers()).isEmpty();
        registry.applyRelayed(2400, server("b", ServerState.READY, 3));
        registry.renewRelayed(3000, "b", 4);
        assertThat(registry.directlyObserved()).hasSize(1);
        registry.tick(6000);
        assertThat(registry.liveServers()).hasSize(1);
    }

    /** After a loss of contact, a server must renew before the list is complete again. */
    @Test
    void shortensLeasesAfterLossOfContact() {
        registry.apply(0, server("a", ServerState.READY, 1));
        registry.markIncomplete(3000);
        registry.markIncomplete(4500);
        registry.tick(5000);
        assertThat(registry.liveServers()).hasSize(1);
        registry.tick(5300);
        assertThat(registry.liveServers()).isEmpty();
    }

    @Test
    void expiresServerWithoutHeartbeatsUntilItsNextOne() {
        registry.apply(0, server("a", ServerState.READY, 1));
        assertThat(registry.tick(4000)).isFalse();
        assertThat(registry.tick(4400)).isTrue();
        assertThat(registry.liveServers()).isEmpty();
        assertThat(registry.apply(4500, server("a", ServerState.READY, 2))).isTrue();
        assertThat(registry.liveServers()).hasSize(1);
    }

    @Test
    void renewsLeaseByRelayedHeartbeat() {
        registry.apply(0, server("a", ServerState.READY, 1));
        registry.renewRelayed(3000, "a", 4);
        assertThat(registry.tick(5000)).isFalse();
    }

    @Test
    void isCompleteOnlyAfterAllServersHadTimeToRegister() {
        assertThat(registry.isComplete(1500)).isFalse();
        assertThat(registry.isComplete(2300)).isTrue();
        registry.markIncomplete(10_000);
        assertThat(registry.isComplete(10_500)).isFalse();
        registry.markComplete(10_600);
        assertThat(registry.isComplete(10_600)).isTrue();
    }

    @Test
    void listsChangesSinceVersionAndHasEqualDigestForEqualServers() {
        registry.apply(0, server("a", ServerState.READY, 1));
        long version = registry.version();
        registry.apply(1, server("b", ServerState.READY, 1));
        assertThat(registry.changesSince(version))
                .containsExactly(server("b", ServerState.READY, 1));
        ServerRegistry other = new ServerRegistry(0, HEARTBEAT_MS);
        assertThat(other.digest()).isNotEqualTo(registry.digest());
        registry.all().forEach(server -> other.apply(2, server));
        assertThat(other.digest()).isEqualTo(registry.digest());
    }

    /** Guards against a restart after which a departure is unknown, or a server serves on. */
    @Test
    void restoresDeparturesOfEarlierProcess() {
        registry.restore(
                0, List.of(server("a", ServerState.DRAINING, 3), server("b", ServerState.LEFT, 3)));
        assertThat(registry.changesSince(0)).hasSize(2);
        assertThat(registry.apply(10, server("a", ServerState.READY, 2))).isFalse();
        assertThat(registry.apply(10, server("b", ServerState.READY, 9))).isFalse();
        assertThat(registry.apply(20, server("a", ServerState.READY, 4))).isTrue();
        assertThat(registry.departures()).containsExactly(server("b", ServerState.LEFT, 3));
    }

    /** Guards against an edge that hears of the drain only once the server is forgotten. */
    @Test
    void drainingServerWhoseLeaseExpiresHasLeft() {
        registry.apply(0, server("a", ServerState.DRAINING, 1));
        assertThat(registry.tick(4400)).isTrue();
        assertThat(registry.departures()).containsExactly(server("a", ServerState.LEFT, 1));
        registry.tick(4400 + DepartureRetention.TOMBSTONE_RETENTION_MS);
        assertThat(registry.departures()).hasSize(1);
        registry.tick(4401 + DepartureRetention.TOMBSTONE_RETENTION_MS);
        assertThat(registry.departures()).isEmpty();
    }
}
