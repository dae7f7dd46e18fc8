package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** Guards against departures that are reported as durable before they are, or written too often. */
class DepartureJournalTest {

    private record Write(List<ServerRecord> state, Runnable onPersisted) {}

    private final ServerRegistry registry = new ServerRegistry(0, 1000);
    private final List<Write> writes = new ArrayList<>();
    private final List<String> ended = new ArrayList<>();
    private final DepartureJournal journal =
            new DepartureJournal(
                    registry, (state, onPersisted) -> writes.add(new Write(state, onPersisted)));

    private static ServerRecord server(String id, ServerState state, long sequence) {
        return new ServerRecord(id, "s", "10.0.0.1:80", "z", 4, state, sequence);
    }

    @Test
    void runsActionOnceDepartureIsOnDisk() {
        registry.apply(0, server("a", ServerState.DRAINING, 1));
        journal.whenDurable(() -> ended.add("a"));
        assertThat(ended).isEmpty();
        assertThat(writes.get(0).state()).containsExactly(server("a", ServerState.DRAINING, 1));
        writes.get(0).onPersisted().run();
        assertThat(ended).containsExactly("a");
        journal.whenDurable(() -> ended.add("again"));
        assertThat(ended).containsExactly("a", "again").inOrder();
        assertThat(writes).hasSize(1);
    }

    @Test
    void departuresThatWaitTogetherAreHandedOverOnce() {
        registry.deregister(0, "a");
        journal.whenDurable(() -> ended.add("a"));
        journal.whenDurable(() -> ended.add("a again"));
        journal.flush();
        assertThat(writes).hasSize(2);
        assertThat(writes.get(1).state()).isNull();
    }

    @Test
    void laterDepartureWaitsForItsOwnWrite() {
        registry.deregister(0, "a");
        journal.whenDurable(() -> ended.add("a"));
        registry.deregister(1, "b");
        journal.whenDurable(() -> ended.add("b"));
        writes.get(0).onPersisted().run();
        assertThat(ended).containsExactly("a");
        assertThat(writes.get(1).state()).hasSize(2);
        writes.get(1).onPersisted().run();
        assertThat(ended).containsExactly("a", "b").inOrder();
    }

    /** The server is not to be listed as draining after a restart. */
    @Test
    void endOfDrainIsWritten() {
        registry.apply(0, server("a", ServerState.DRAINING, 1));
        journal.flush();
        registry.apply(1, server("a", ServerState.READY, 2));
        journal.flush();
        assertThat(writes).hasSize(2);
        assertThat(writes.get(1).state()).isEmpty();
    }
}
