package poppynotch.register;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Optional;

/**
 * The durable storage of one byte array. Each write replaces the whole content, and goes to the
 * older one of two files, so that a torn write never damages the current content. On reading, the
 * valid file with the higher sequence number wins.
 *
 * <p>All methods block on the disk and must be called by one thread at a time. Call {@link #read}
 * once before the first {@link #write}. The files are created by the first writes, so that a
 * process can start on a full disk. The owner closes the files.
 */
public final class TwoSlotFile implements Closeable {

    private static final int SLOT_COUNT = 2;
    private static final int NO_SLOT = -1;

    private final Path folder;
    private final String name;

    /** Null until the file is opened. */
    private final RecordFile[] slots = new RecordFile[SLOT_COUNT];

    private int currentSlot = NO_SLOT;

    /** Sequence number of the latest write, also of one that failed. */
    private long sequence;

    /** The content that was last read or completely written; null for none. */
    private byte[] durableContent;

    /** Creates the storage of the files {@code name-0} and {@code name-1} in a folder. */
    public TwoSlotFile(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** Reads the latest durable content; empty where there is none, as on an empty disk. */
    public Optional<byte[]> read() throws IOException {
        for (int i = 0; i < SLOT_COUNT; i++) {
            if (!Files.exists(pathOf(i))) {
                continue;
            }
            slots[i] = new RecordFile(pathOf(i));
            Optional<RecordFile.StoredRecord> stored = slots[i].read(0);
            if (stored.isPresent()) {
                readSlot(i, stored.get().content());
            }
        }
        return Optional.ofNullable(durableContent);
    }

    private void readSlot(int slot, DataInputStream content) throws IOException {
        long storedSequence = content.readLong();
        if (storedSequence > sequence) {
            sequence = storedSequence;
            currentSlot = slot;
            durableContent = content.readAllBytes();
        }
    }

    /**
     * Writes the content and forces it to disk: once this returns, it survives a loss of power.
     * After an exception it may be lost or not.
     */
    public void write(byte[] content) throws IOException {
        int nextSlot = currentSlot == NO_SLOT ? 0 : (currentSlot + 1) % SLOT_COUNT;
        // Never reuse a sequence number: a failed write may nevertheless be complete on disk.
        sequence++;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(content.length + Long.BYTES);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(sequence);
        out.write(content);
        open(nextSlot).write(0, bytes.toByteArray());
        currentSlot = nextSlot;
        durableContent = content;
    }

    private RecordFile open(int slot) throws IOException {
        if (slots[slot] == null) {
            RecordFile created = new RecordFile(pathOf(slot));
            syncFolder();
            slots[slot] = created;
        }
        return slots[slot];
    }

    private void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /**
     * Compares what is on disk with what was last written, and writes it again if they differ.
     *
     * @return whether the file was intact, or there was nothing to compare
     */
    public boolean scrub() throws IOException {
        if (currentSlot == NO_SLOT) {
            return true;
        }
        Optional<RecordFile.StoredRecord> stored = slots[currentSlot].read(0);
        boolean intact = stored.isPresent() && isDurableContent(stored.get().content());
        if (!intact) {
            write(durableContent);
        }
        return intact;
    }

    private boolean isDurableContent(DataInputStream stored) throws IOException {
        stored.readLong();
        return Arrays.equals(stored.readAllBytes(), durableContent);
    }

    private Path pathOf(int slot) {
        return folder.resolve(name + "-" + slot);
    }

    @Override
    public void close() throws IOException {
        for (RecordFile slot : slots) {
            if (slot != null) {
                slot.close();
            }
        }
    }
}
