package poppynotch.register;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against content that is lost by a restart, a torn write or damage on disk. */
class TwoSlotFileTest {

    private static final String NAME = "content";

    @TempDir private Path folder;

    private static byte[] content(int number) {
        byte[] content = new byte[1000 + 700 * (number % 5)];
        new SplittableRandom(number).nextBytes(content);
        return content;
    }

    private byte[] readFromDisk() throws IOException {
        try (TwoSlotFile file = new TwoSlotFile(folder, NAME)) {
            return file.read().orElse(null);
        }
    }

    private void writeAfterRestart(byte[] content) throws IOException {
        try (TwoSlotFile file = new TwoSlotFile(folder, NAME)) {
            file.read();
            file.write(content);
        }
    }

    @Test
    void readsNothingFromEmptyFolderAndCreatesNoFile() throws IOException {
        assertThat(readFromDisk()).isNull();
        assertThat(Files.exists(folder.resolve("content-0"))).isFalse();
    }

    @Test
    void readsLatestContent() throws IOException {
        try (TwoSlotFile file = new TwoSlotFile(folder, NAME)) {
            file.read();
            for (int i = 1; i <= 20; i++) {
                file.write(content(i));
                assertThat(readFromDisk()).isEqualTo(content(i));
            }
        }
        for (int i = 21; i <= 40; i++) {
            writeAfterRestart(content(i));
            assertThat(readFromDisk()).isEqualTo(content(i));
        }
    }

    /** Whatever part of the latest write is missing, the content before it is readable. */
    @Test
    void tornWriteLosesNoEarlierContent() throws IOException {
        SplittableRandom random = new SplittableRandom(3);
        writeAfterRestart(content(1));
        for (int i = 2; i <= 60; i++) {
            byte[][] before = {readSlot(0), readSlot(1)};
            writeAfterRestart(content(i));
            int written = Arrays.equals(before[0], readSlot(0)) ? 1 : 0;
            byte[] after = readSlot(written);
            byte[] torn = after.clone();
            int from = random.nextInt(torn.length);
            int to = from + 1 + random.nextInt(torn.length - from);
            for (int position = from; position < to; position++) {
                byte[] old = before[written];
                torn[position] = position < old.length ? old[position] : 0;
            }
            Files.write(slot(written), torn);
            assertThat(ByteBuffer.wrap(readFromDisk()))
                    .isAnyOf(ByteBuffer.wrap(content(i - 1)), ByteBuffer.wrap(content(i)));
            Files.write(slot(written), after);
            assertThat(readFromDisk()).isEqualTo(content(i));
        }
    }

    @Test
    void scrubRewritesDamagedContent() throws IOException {
        try (TwoSlotFile file = new TwoSlotFile(folder, NAME)) {
            file.read();
            assertThat(file.scrub()).isTrue();
            file.write(content(1));
            assertThat(file.scrub()).isTrue();
            byte[] damaged = readSlot(0);
            damaged[50] ^= 1;
            Files.write(slot(0), damaged);
            assertThat(file.scrub()).isFalse();
            assertThat(file.scrub()).isTrue();
        }
        assertThat(readFromDisk()).isEqualTo(content(1));
    }

    /** A write that fails must not stand in the way of the next one. */
    @Test
    void writeSucceedsAfterFailedWrite() throws IOException {
        Files.createDirectory(slot(0));
        try (TwoSlotFile file = new TwoSlotFile(folder, NAME)) {
            assertThrows(IOException.class, () -> file.write(content(1)));
            Files.delete(slot(0));
            file.write(content(2));
            assertThat(file.scrub()).isTrue();
        }
        assertThat(readFromDisk()).isEqualTo(content(2));
    }

    private Path slot(int number) {
        return folder.resolve(NAME + "-" + number);
    }

    private byte[] readSlot(int number) throws IOException {
        return Files.exists(slot(number)) ? Files.readAllBytes(slot(number)) : new byte[0];
    }
}
