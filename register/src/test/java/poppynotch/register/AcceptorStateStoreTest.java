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

class AcceptorStateStoreTest {

    @TempDir private Path folder;

    private static AcceptorState state(long counter, int bytes) {
        Ballot ballot = new Ballot(counter, 7);
        return new AcceptorState(
                ballot,
                ballot,
                new RegisterValue(
                        counter,
                        AcceptorSet.of(List.of("a", "b", "c")),
                        counter,
                        new byte[bytes],
                        List.of(new AppliedChange(counter, counter))));
    }

    private Optional<AcceptorState> readAgain() throws IOException {
        try (AcceptorStateStore files = new AcceptorStateStore(folder)) {
            return files.read();
        }
    }

    @Test
    void anEmptyDiskHoldsNothing() throws IOException {
        assertThat(readAgain()).isEqualTo(Optional.empty());
    }

    @Test
    void whatWasWrittenIsReadAgain() throws IOException {
        try (AcceptorStateStore files = new AcceptorStateStore(folder)) {
            files.read();
            for (int i = 1; i <= 50; i++) {
                AcceptorState next = state(i, 20_000);
                files.write(next);
                assertThat(readAgain()).isEqualTo(Optional.of(next));
                AcceptorState promised = next.promise(new Ballot(i, 9));
                files.write(promised);
                assertThat(readAgain()).isEqualTo(Optional.of(promised));
            }
        }
    }

    @Test
    void aStateGoesOnAfterARestart() throws IOException {
        for (int i = 1; i <= 30; i++) {
            try (AcceptorStateStore files = new AcceptorStateStore(folder)) {
                files.read();
                files.write(state(i, 30_000));
            }
            assertThat(readAgain()).isEqualTo(Optional.of(state(i, 30_000)));
        }
    }

    @Test
    void aScrubFindsDamageAndWritesTheStateAnew() throws IOException {
        try (AcceptorStateStore files = new AcceptorStateStore(folder)) {
            files.read();
            files.write(state(1, 5000));
            files.write(state(2, 5000));
            assertThat(files.scrub()).isTrue();
            for (int i = 0; i < 4; i++) {
                byte[] content = Files.readAllBytes(file(i));
                if (content.length > 40) {
                    content[40] ^= 1;
                    Files.write(file(i), content);
                }
            }
            assertThat(files.scrub()).isFalse();
            assertThat(files.scrub()).isTrue();
        }
        assertThat(readAgain()).isEqualTo(Optional.of(state(2, 5000)));
    }

    /** Whatever bytes of the latest write are missing or torn, what was kept before it stands. */
    @Test
    void aTornWriteLosesNothingThatWasKept() throws IOException {
        SplittableRandom random = new SplittableRandom(11);
        AcceptorState kept = state(1, 90_000);
        try (AcceptorStateStore files = new AcceptorStateStore(folder)) {
            files.read();
            files.write(kept);
        }
        for (int i = 2; i <= 60; i++) {
            byte[][] before = contents();
            AcceptorState next = state(i, 90_000);
            try (AcceptorStateStore files = new AcceptorStateStore(folder)) {
                files.read();
                files.write(next);
            }
            byte[][] after = contents();
            tear(before, after, random);
            assertThat(readAgain()).isAnyOf(Optional.of(kept), Optional.of(next));
            restore(after);
            assertThat(readAgain()).isEqualTo(Optional.of(next));
            kept = next;
        }
    }

    private byte[][] contents() throws IOException {
        byte[][] all = new byte[4][];
        for (int i = 0; i < all.length; i++) {
            all[i] = Files.readAllBytes(file(i));
        }
        return all;
    }

    private Path file(int i) {
        return folder.resolve((i < 2 ? "register-slot-" : "register-log-") + i % 2);
    }

    /** In each file a part of the blocks that differ is as it was before. */
    private void tear(byte[][] before, byte[][] after, SplittableRandom random) throws IOException {
        int block = 512;
        for (int i = 0; i < after.length; i++) {
            boolean lengthKept = random.nextBoolean();
            byte[] torn = after[i].clone();
            for (int at = 0; at < torn.length; at += block) {
                if (random.nextBoolean()) {
                    for (int b = at; b < Math.min(at + block, torn.length); b++) {
                        torn[b] = b < before[i].length ? before[i][b] : 0;
                    }
                }
            }
            try (RandomAccessFile file = new RandomAccessFile(file(i).toFile(), "rw")) {
                file.write(torn);
                file.setLength(lengthKept ? Math.max(torn.length, before[i].length) : torn.length);
            }
        }
    }

    private void restore(byte[][] contents) throws IOException {
        for (int i = 0; i < contents.length; i++) {
            Files.write(file(i), contents[i]);
        }
    }
}
