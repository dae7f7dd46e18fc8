package poppynotch.register;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against acceptor files and encoded values that differ from those of earlier versions. */
class StoredStateFormatTest {

    private static final RegisterValue FIRST_VALUE =
            new RegisterValue(
                    4,
                    new AcceptorSet(List.of("10.0.0.1:7000", "10.0.0.2:7000"), List.of("é:1")),
                    9,
                    new byte[] {1, 2, -1},
                    List.of(new AppliedChange(7, 8), new AppliedChange(-7, 9)),
                    0);
    private static final RegisterValue SECOND_VALUE =
            FIRST_VALUE.withDocument(10, new byte[] {5}, 77);
    private static final AcceptorState FIRST_STATE =
            new AcceptorState(new Ballot(5, -3), new Ballot(4, 2), FIRST_VALUE);
    private static final AcceptorState PROMISED_STATE = FIRST_STATE.promise(new Ballot(6, 1));
    private static final AcceptorState SECOND_STATE =
            new AcceptorState(new Ballot(6, 1), new Ballot(6, 1), SECOND_VALUE);
    private static final List<String> FILE_NAMES =
            List.of("register-slot-0", "register-slot-1", "register-log-0", "register-log-1");

    @TempDir private Path folder;

    private static byte[] goldenBytes(String name) {
        try (InputStream in =
                StoredStateFormatTest.class.getResourceAsStream("/golden/" + name + ".bin")) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Map<String, byte[]> writeFiles() throws IOException {
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            store.read();
            store.write(FIRST_STATE);
            store.write(PROMISED_STATE);
            store.write(SECOND_STATE);
        }
        Map<String, byte[]> contents = new LinkedHashMap<>();
        for (String file : FILE_NAMES) {
            contents.put(file, Files.readAllBytes(folder.resolve(file)));
        }
        return contents;
    }

    @Test
    void writesStateFilesWithBytesOfEarlierVersions() throws IOException {
        Map<String, byte[]> contents = writeFiles();
        for (String file : FILE_NAMES) {
            assertThat(contents.get(file)).isEqualTo(goldenBytes(file));
        }
    }

    @Test
    void readsStateFilesOfEarlierVersions() throws IOException {
        for (String file : FILE_NAMES) {
            Files.write(folder.resolve(file), goldenBytes(file));
        }
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            assertThat(store.read()).isEqualTo(Optional.of(SECOND_STATE));
        }
    }

    @Test
    void writesAndReadsValuesWithBytesOfEarlierVersions() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        ValueCodec.writeBallot(out, new Ballot(5, -3));
        ValueCodec.writeValue(out, SECOND_VALUE);
        assertThat(bytes.toByteArray()).isEqualTo(goldenBytes("value"));
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(goldenBytes("value")));
        assertThat(ValueCodec.readBallot(in)).isEqualTo(new Ballot(5, -3));
        assertThat(ValueCodec.readValue(in)).isEqualTo(SECOND_VALUE);
    }

    /** The acceptor epoch follows the fields that earlier versions read; their records imply 0. */
    @Test
    void acceptorEpochIsReadAndLeavesEarlierFieldsUnchanged() throws IOException {
        RegisterValue changed =
                SECOND_VALUE.withAcceptors(AcceptorSet.of(List.of("10.0.0.1:7000")));
        assertThat(changed.acceptorEpoch()).isEqualTo(1);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ValueCodec.writeLastValue(new DataOutputStream(bytes), changed);
        byte[] record = bytes.toByteArray();
        assertThat(ValueCodec.readLastValue(input(record))).isEqualTo(changed);
        assertThat(ValueCodec.readValue(input(record))).isEqualTo(changed.withAcceptorEpoch(0));
        ByteArrayOutputStream earlier = new ByteArrayOutputStream();
        ValueCodec.writeValue(new DataOutputStream(earlier), changed);
        assertThat(record).hasLength(earlier.size() + Long.BYTES);
        assertThat(ValueCodec.readLastValue(input(earlier.toByteArray())))
                .isEqualTo(changed.withAcceptorEpoch(0));
    }

    /** The rollouts follow the acceptor epoch, and are empty in records of earlier versions. */
    @Test
    void rolloutsAreReadAndLeaveEarlierFieldsUnchanged() throws IOException {
        RegisterValue changed = SECOND_VALUE.withRollouts(new byte[] {7, -8, 9});
        assertThat(changed.revision()).isEqualTo(SECOND_VALUE.revision() + 1);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ValueCodec.writeLastValue(new DataOutputStream(bytes), changed);
        assertThat(ValueCodec.readLastValue(input(bytes.toByteArray()))).isEqualTo(changed);
        assertThat(ValueCodec.readValue(input(bytes.toByteArray())))
                .isEqualTo(changed.withStoredRollouts(new byte[0]));
        ByteArrayOutputStream without = new ByteArrayOutputStream();
        ValueCodec.writeLastValue(new DataOutputStream(without), SECOND_VALUE);
        ByteArrayOutputStream earlier = new ByteArrayOutputStream();
        ValueCodec.writeValue(new DataOutputStream(earlier), SECOND_VALUE);
        assertThat(without.toByteArray()).isEqualTo(earlier.toByteArray());
    }

    @Test
    void rolloutsSurviveRestart() throws IOException {
        RegisterValue changed = SECOND_VALUE.withRollouts(new byte[] {7, -8, 9});
        AcceptorState state = new AcceptorState(new Ballot(7, 1), new Ballot(7, 1), changed);
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            store.read();
            store.write(FIRST_STATE);
            store.write(state);
        }
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            assertThat(store.read()).isEqualTo(Optional.of(state));
        }
    }

    private static DataInputStream input(byte[] record) {
        return new DataInputStream(new ByteArrayInputStream(record));
    }

    @Test
    void acceptorEpochSurvivesRestart() throws IOException {
        RegisterValue changed =
                SECOND_VALUE.withAcceptors(AcceptorSet.of(List.of("10.0.0.1:7000")));
        AcceptorState state = new AcceptorState(new Ballot(7, 1), new Ballot(7, 1), changed);
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            store.read();
            store.write(FIRST_STATE);
            store.write(state);
        }
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            assertThat(store.read()).isEqualTo(Optional.of(state));
        }
    }
}
