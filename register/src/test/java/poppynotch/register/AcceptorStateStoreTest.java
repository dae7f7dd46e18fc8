package poppynotch.register;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against written states that are lost by a restart, a torn write or damage on disk. */
class AcceptorStateStoreTest {

    @TempDir private Path folder;

    private static AcceptorState state(long counter, int documentBytes) {
        Ballot ballot = new Ballot(counter, 7);
        return new AcceptorState(
                ballot,
                ballot,
                new RegisterValue(
                        counter,
                        AcceptorSet.of(List.of("a", "b", "c")),
                        counter,
                        new byte[documentBytes],
                        List.of(new AppliedChange(counter, counter)),
                        0));
    }

    private Optional<AcceptorState> readFromDisk() throws IOException {
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            return store.read();
        }
    }

    @Test
    void readsNoStateFromEmptyFolder() throws IOException {
        assertThat(readFromDisk()).isEqualTo(Optional.empty());
    }

    @Test
    void readsEveryStateAndPromiseAsWritten() throws IOException {
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            store.read();
            for (int i = 1; i <= 50; i++) {
                AcceptorState next = state(i, 20_000);
                store.write(next);
                assertThat(readFromDisk()).isEqualTo(Optional.of(next));
                AcceptorState promised = next.promise(new Ballot(i, 9));
                store.write(promised);
                assertThat(readFromDisk()).isEqualTo(Optional.of(promised));
            }
        }
    }

    @Test
    void readsStateWrittenAfterRestart() throws IOException {
        for (int i = 1; i <= 30; i++) {
            try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
                store.read();
                store.write(state(i, 30_000));
            }
            assertThat(readFromDisk()).isEqualTo(Optional.of(state(i, 30_000)));
        }
    }

    @Test
    void scrubDetectsDamageAndRewritesState() throws IOException {
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            store.read();
            store.write(state(1, 5000));
            store.write(state(2, 5000));
            assertThat(store.scrub()).isTrue();
            for (int i = 0; i < 4; i++) {
                byte[] content = Files.readAllBytes(file(i));
                if (content.length > 40) {
                    content[40] ^= 1;
                    Files.write(file(i), content);
                }
            }
            assertThat(store.scrub()).isFalse();
            assertThat(store.scrub()).isTrue();
        }
        assertThat(readFromDisk()).isEqualTo(Optional.of(state(2, 5000)));
    }

    /** Whatever blocks of the latest write are missing, the state written before it is readable. */
    @Test
    void tornWriteLosesNoEarlierState() throws IOException {
        SplittableRandom random = new SplittableRandom(11);
        AcceptorState previous = state(1, 90_000);
        try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
            store.read();
            store.write(previous);
        }
        for (int i = 2; i <= 60; i++) {
            byte[][] before = readFiles();
            AcceptorState next = state(i, 90_000);
            try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
                store.read();
                store.write(next);
            }
            byte[][] after = readFiles();
            tear(before, after, random);
            assertThat(readFromDisk()).isAnyOf(Optional.of(previous), Optional.of(next));
            restore(after);
            assertThat(readFromDisk()).isEqualTo(Optional.of(next));
            previous = next;
        }
    }

    /**
     * After a loss of power, any file that was never synced may be missing, as the folder itself is
     * never synced; and changes of a file that were not synced may be kept or lost.
     */
    @Test
    void lossOfUnsyncedFilesLosesNoWrittenState() throws IOException {
        SplittableRandom random = new SplittableRandom(12);
        byte[][] synced = {{}, {}, {}, {}};
        for (int i = 1; i <= 40; i++) {
            byte[][] before = synced;
            AcceptorState next = state(i, 90_000);
            try (AcceptorStateStore store = new AcceptorStateStore(folder)) {
                store.read();
                store.write(next);
            }
            byte[][] after = readFiles();
            for (int file = 0; file < after.length; file++) {
                // Written files are synced; files that were only opened or cleared are not.
                boolean isLost = after[file].length == 0 && random.nextBoolean();
                if (isLost && before[file].length == 0) {
                    Files.delete(file(file));
                } else if (isLost) {
                    Files.write(file(file), before[file]);
                }
            }
            assertThat(readFromDisk()).isEqualTo(Optional.of(next));
            synced = readFiles();
        }
    }

    private byte[][] readFiles() throws IOException {
        byte[][] contents = new byte[4][];
        for (int i = 0; i < contents.length; i++) {
            contents[i] = Files.readAllBytes(file(i));
        }
        return contents;
    }

    private Path file(int i) {
        return folder.resolve((i < 2 ? "register-slot-" : "register-log-") + i % 2);
    }

    /** Writes the files as after a write of which a random half of the blocks is missing. */
    private void tear(byte[][] before, byte[][] after, SplittableRandom random) throws IOException {
        int blockBytes = 512;
        for (int i = 0; i < after.length; i++) {
            boolean keepsLength = random.nextBoolean();
            byte[] torn = after[i].clone();
            for (int start = 0; start < torn.length; start += blockBytes) {
                if (random.nextBoolean()) {
                    for (int at = start; at < Math.min(start + blockBytes, torn.length); at++) {
                        torn[at] = at < before[i].length ? before[i][at] : 0;
                    }
                }
            }
            try (RandomAccessFile file = new RandomAccessFile(file(i).toFile(), "rw")) {
                file.write(torn);
                file.setLength(keepsLength ? Math.max(torn.length, before[i].length) : torn.length);
            }
        }
    }

    private void restore(byte[][] contents) throws IOException {
        for (int i = 0; i < contents.length; i++) {
            Files.write(file(i), contents[i]);
        }
    }
}
