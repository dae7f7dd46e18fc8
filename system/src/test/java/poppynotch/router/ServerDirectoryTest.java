package poppynotch.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** Guards against servers that are removed, or return, because replicas list different servers. */
class ServerDirectoryTest {

    private final ServerDirectory directory = new ServerDirectory();

    private static ServerRecord server(String id, ServerState state, long sequence) {
        return new ServerRecord(id, "s", "10.0.0.1:80", "z", 4, state, sequence);
    }

    private static List<ServerRecord> ready(String... ids) {
        return Arrays.stream(ids).map(id -> server(id, ServerState.READY, 1)).toList();
    }

    private List<String> knownIds() {
        return directory.servers().stream().map(ServerRecord::id).sorted().toList();
    }

    @Test
    void incompleteListRemovesNoServer() {
        directory.update(0, true, true, ready("a", "b"));
        directory.onConnected(0);
        directory.update(0, true, false, ready("a"));
        assertThat(knownIds()).containsExactly("a", "b");
        directory.update(0, false, true, List.of());
        assertThat(knownIds()).containsExactly("a");
    }

    @Test
    void keepsServerThatAnyConnectionLists() {
        directory.update(0, true, true, ready("a", "b"));
        directory.update(1, true, true, ready("a"));
        assertThat(knownIds()).containsExactly("a", "b");
        directory.update(0, false, true, List.of(server("b", ServerState.EXPIRED, 1)));
        assertThat(knownIds()).containsExactly("a");
    }

    @Test
    void drainReportedByOneReplicaIsNotRevoked() {
        directory.update(0, true, true, ready("a"));
        directory.update(1, true, true, List.of(server("a", ServerState.DRAINING, 2)));
        directory.update(0, false, true, ready("a"));
        assertThat(directory.servers()).containsExactly(server("a", ServerState.DRAINING, 2));
    }

    @Test
    void serverThatHasLeftIsNeverAddedAgain() {
        directory.update(0, true, true, ready("a"));
        directory.update(1, true, true, List.of(server("a", ServerState.LEFT, 2)));
        assertThat(knownIds()).isEmpty();
        directory.update(0, true, true, ready("a"));
        assertThat(knownIds()).isEmpty();
    }

    @Test
    void removesServerThatIsMarkedAsLeft() {
        directory.update(0, true, true, ready("a", "b"));
        assertThat(directory.markLeft("a")).isTrue();
        assertThat(knownIds()).containsExactly("b");
    }
}
