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

/** Holds the files of an acceptor, and values on the wire, to the bytes of earlier versions. */
class StoredStateFormatTest {

    private static final RegisterValue FIRST =
            new RegisterValue(
                    4,
                    new AcceptorSet(List.of("10.0.0.1:7000", "10.0.0.2:7000"), List.of("é:1")),
                    9,
                    new byte[] {1, 2, -1},
                    List.of(new AppliedChange(7, 8), new AppliedChange(-7, 9)));
    private static final RegisterValue SECOND = FIRST.withDocument(10, new byte[] {5}, 77);
    private static final AcceptorState FIRST_STATE =
            new AcceptorState(new Ballot(5, -3), new Ballot(4, 2), FIRST);
    private static final AcceptorState PROMISED = FIRST_STATE.promise(new Ballot(6, 1));
    private static final AcceptorState LAST_STATE =
            new AcceptorState(new Ballot(6, 1), new Ballot(6, 1), SECOND);
    private static final List<String> FILES =
            List.of("register-slot-0", "register-slot-1", "register-log-0", "register-log-1");

    @TempDir private Path folder;

    private static byte[] golden(String name) {
        try (InputStream in =
                StoredStateFormatTest.class.getResourceAsStream("/golden/" + name + ".bin")) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Map<String, byte[]> written() throws IOException {
        try (AcceptorStateStore files = new AcceptorStateStore(folder)) {
            files.read();
            files.write(FIRST_STATE);
            files.write(PROMISED);
            files.write(LAST_STATE);
        }
        Map<String, byte[]> contents = new LinkedHashMap<>();
        for (String file : FILES) {
            contents.put(file, Files.readAllBytes(folder.resolve(file)));
        }
        return contents;
    }

    @Test
    void stateFilesAreWrittenAsEarlierVersionsWroteThem() throws IOException {
        Map<String, byte[]> contents = written();
        for (String file : FILES) {
            assertThat(contents.get(file)).isEqualTo(golden(file));
        }
    }

    @Test
    void stateFilesOfEarlierVersionsAreRead() throws IOException {
        for (String file : FILES) {
            Files.write(folder.resolve(file), golden(file));
        }
        try (AcceptorStateStore files = new AcceptorStateStore(folder)) {
            assertThat(files.read()).isEqualTo(Optional.of(LAST_STATE));
        }
    }

    @Test
    void valuesAreWrittenAndReadAsByEarlierVersions() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        ValueCodec.writeBallot(out, new Ballot(5, -3));
        ValueCodec.writeValue(out, SECOND);
        assertThat(bytes.toByteArray()).isEqualTo(golden("value"));
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(golden("value")));
        assertThat(ValueCodec.readBallot(in)).isEqualTo(new Ballot(5, -3));
        assertThat(ValueCodec.readValue(in)).isEqualTo(SECOND);
    }
}
