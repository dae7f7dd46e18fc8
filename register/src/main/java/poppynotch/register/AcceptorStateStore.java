package poppynotch.register;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Path;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * An acceptor's state on disk: two slots that are written whole in turn, each with a short log of
 * what has changed since. A state counts as kept once {@link #write} has returned. Torn and missing
 * writes are found by checksums; the newest slot that is whole wins, and its log counts up to the
 * first record that is not.
 */
public final class AcceptorStateStore implements Closeable {

    /** A log longer than this gives way to the other slot. */
    private static final long LOG_BYTES = 256 * 1024;

    private static final int MOST_RECORD = 32 * 1024 * 1024;
    private static final byte PROMISE = 1;
    private static final byte STATE = 2;
    private static final int SLOTS = 2;

    private final RandomAccessFile[] slots = new RandomAccessFile[SLOTS];
    private final RandomAccessFile[] logs = new RandomAccessFile[SLOTS];
    private int current = -1;

    /** The number of the current slot's content; records of its log carry it too. */
    private long sequence;

    private long logEnd;
    private AcceptorState kept;

    /** The last write did not come through: the log's end is not known any more. */
    private boolean suspect;

    /** Opens or makes the files in {@code folder}. */
    public AcceptorStateStore(Path folder) throws IOException {
        for (int i = 0; i < SLOTS; i++) {
            slots[i] = new RandomAccessFile(folder.resolve("register-slot-" + i).toFile(), "rw");
            logs[i] = new RandomAccessFile(folder.resolve("register-log-" + i).toFile(), "rw");
        }
    }

    /** The state kept last; empty where there is none, as on an empty disk. */
    public Optional<AcceptorState> read() throws IOException {
        for (int i = 0; i < SLOTS; i++) {
            DataInputStream slot = record(slots[i], 0);
            if (slot == null) {
                continue;
            }
            long found = slot.readLong();
            if (found > sequence) {
                sequence = found;
                current = i;
                kept = readState(slot);
            }
        }
        if (current < 0) {
            return Optional.empty();
        }
        replayLog();
        return Optional.of(kept);
    }

    private void replayLog() throws IOException {
        logEnd = 0;
        RandomAccessFile log = logs[current];
        for (DataInputStream record = record(log, 0);
                record != null;
                record = record(log, logEnd)) {
            if (record.readLong() != sequence) {
                return;
            }
            kept =
                    record.readByte() == PROMISE
                            ? kept.promise(ValueCodec.readBallot(record))
                            : readState(record);
            logEnd = log.getFilePointer();
        }
    }

    /**
     * Reads what is on disk again; true if it is what was kept last. Else it is written whole anew.
     */
    public boolean scrub() throws IOException {
        if (current < 0 || suspect) {
            return true;
        }
        AcceptorState memory = kept;
        long end = logEnd;
        DataInputStream slot = record(slots[current], 0);
        boolean good = slot != null && slot.readLong() == sequence;
        if (good) {
            kept = readState(slot);
            replayLog();
            good = kept.equals(memory) && logEnd == end;
        }
        kept = memory;
        logEnd = end;
        if (!good) {
            suspect = true;
            write(memory);
        }
        return good;
    }

    /**
     * Keeps a state; when this returns, no loss of power loses it. An exception says that it may be
     * lost.
     */
    public void write(AcceptorState state) throws IOException {
        boolean whole = suspect || current < 0 || logEnd > LOG_BYTES;
        suspect = true;
        if (whole) {
            writeSlot(state);
        } else {
            append(state);
        }
        kept = state;
        suspect = false;
    }

    private void writeSlot(AcceptorState state) throws IOException {
        int next = current < 0 ? 0 : (current + 1) % SLOTS;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        // A slot that did not come through may be whole on disk all the same: its number is used
        // up.
        sequence++;
        out.writeLong(sequence);
        writeState(out, state);
        logs[next].setLength(0);
        put(slots[next], 0, bytes.toByteArray());
        current = next;
        logEnd = 0;
    }

    private void append(AcceptorState state) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(sequence);
        if (kept != null && state.accepted().equals(kept.accepted())) {
            out.writeByte(PROMISE);
            ValueCodec.writeBallot(out, state.promised());
        } else {
            out.writeByte(STATE);
            writeState(out, state);
        }
        logEnd = put(logs[current], logEnd, bytes.toByteArray());
    }

    private static long put(RandomAccessFile file, long at, byte[] content) throws IOException {
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream(content.length + Long.BYTES + Integer.BYTES);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(content.length);
        out.writeLong(checksum(content));
        out.write(content);
        file.seek(at);
        file.write(bytes.toByteArray());
        file.getFD().sync();
        return at + bytes.size();
    }

    /** The record that begins at a place, or null if there is none that is whole. */
    private static DataInputStream record(RandomAccessFile file, long at) throws IOException {
        try {
            file.seek(at);
            int length = file.readInt();
            long checksum = file.readLong();
            if (length < 0
                    || length > MOST_RECORD
                    || length > file.length() - file.getFilePointer()) {
                return null;
            }
            byte[] content = new byte[length];
            file.readFully(content);
            return checksum(content) == checksum
                    ? new DataInputStream(new ByteArrayInputStream(content))
                    : null;
        } catch (EOFException e) {
            return null;
        }
    }

    private static long checksum(byte[] content) {
        CRC32 crc = new CRC32();
        crc.update(content);
        // Zeros must not pass for a record.
        return crc.getValue() + 1;
    }

    private static void writeState(DataOutputStream out, AcceptorState state) throws IOException {
        ValueCodec.writeBallot(out, state.promised());
        ValueCodec.writeBallot(out, state.accepted());
        ValueCodec.writeValue(out, state.value());
    }

    private static AcceptorState readState(DataInputStream in) throws IOException {
        return new AcceptorState(
                ValueCodec.readBallot(in), ValueCodec.readBallot(in), ValueCodec.readValue(in));
    }

    @Override
    public void close() throws IOException {
        for (int i = 0; i < SLOTS; i++) {
            slots[i].close();
            logs[i].close();
        }
    }
}
