package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.register.AcceptorSet;
import poppynotch.register.AcceptorState;
import poppynotch.register.AcceptorStateStore;
import poppynotch.register.TwoSlotFile;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** Guards against departures that a restart, or another version of the software, does not read. */
class DepartureStoreTest {

    private static final List<ServerRecord> DEPARTURES =
            List.of(
                    new ServerRecord(
                            "i-ş", "s", "10.0.0.1:80", "z", 4, ServerState.DRAINING, 7, "v2"),
                    new ServerRecord("i-2", "", "", "", 0, ServerState.LEFT, 0));

    @TempDir private Path folder;

    private List<ServerRecord> readFromDisk() throws IOException {
        try (DepartureStore store = new DepartureStore(folder)) {
            return store.read();
        }
    }

    @Test
    void readsDeparturesAsWritten() throws IOException {
        assertThat(readFromDisk()).isEmpty();
        try (DepartureStore store = new DepartureStore(folder)) {
            store.read();
            store.write(DEPARTURES);
            assertThat(store.scrub()).isTrue();
        }
        assertThat(readFromDisk()).isEqualTo(DEPARTURES);
    }

    @Test
    void ignoresContentOfAnotherKind() throws IOException {
        try (TwoSlotFile file = new TwoSlotFile(folder, "departures")) {
            file.read();
            file.write("no message".getBytes(StandardCharsets.UTF_8));
        }
        assertThat(readFromDisk()).isEmpty();
    }

    /** Guards against an upgrade or a downgrade that can't start on the files of the other. */
    @Test
    void acceptorStateInTheSameFolderIsIndependent() throws IOException {
        AcceptorState state = AcceptorState.initial(AcceptorSet.of(List.of("a", "b", "c")));
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            store.read();
            store.write(state);
        }
        assertThat(readFromDisk()).isEmpty();
        try (DepartureStore store = new DepartureStore(folder)) {
            store.read();
            store.write(DEPARTURES);
        }
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            assertThat(store.read()).isEqualTo(Optional.of(state));
        }
        assertThat(readFromDisk()).isEqualTo(DEPARTURES);
    }
}
