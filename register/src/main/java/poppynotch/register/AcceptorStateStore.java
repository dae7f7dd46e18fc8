package poppynotch.register;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The durable storage of one acceptor's state: two slots, each a snapshot file with a log of the
 * changes since. Only one slot is current; a new snapshot goes to the other one, so that a torn
 * write never damages the current one. On reading, the valid snapshot with the highest sequence
 * number wins, and its log is valid up to the first record that is damaged or belongs to another
 * snapshot.
 *
 * <p>All methods block on the disk and must be called by one thread at a time. Call {@link #read}
 * once before the first {@link #write}. The owner closes the store, which closes its files.
 */
public final class AcceptorStateStore implements StateStore<AcceptorState>, Closeable {

    /** A log longer than this is replaced by a new snapshot in the other slot. */
    private static final long MAX_LOG_BYTES = 256 * 1024;

    /** Kinds of log records. */
    private static final byte PROMISE = 1;

    private static final byte STATE = 2;

    private static final int SLOT_COUNT = 2;
    private static final int NO_SLOT = -1;

    private record Slot(RecordFile snapshot, RecordFile log) {}

    /** The state after all valid records of a log, and the offset at which the log continues. */
    private record ReplayedLog(AcceptorState state, long endPosition) {}

    private final List<Slot> slots = new ArrayList<>();
    private int currentSlot = NO_SLOT;

    /** Sequence number of the current snapshot; the records of its log carry it too. */
    private long sequence;

    private long logEndPosition;

    /** The state that was last read or completely written. */
    private AcceptorState durableState;

    /** Whether the last write failed midway, so that the end of the log is not known. */
    private boolean logEndUncertain;

    /** Opens the files in {@code folder}, and creates those that don't exist. */
    public AcceptorStateStore(Path folder) throws IOException {
        for (int i = 0; i < SLOT_COUNT; i++) {
            slots.add(
                    new Slot(
                            new RecordFile(folder.resolve("register-slot-" + i)),
                            new RecordFile(folder.resolve("register-log-" + i))));
        }
    }

    /** Reads the latest durable state; empty where there is none, as on an empty disk. */
    public Optional<AcceptorState> read() throws IOException {
        AcceptorState snapshot = null;
        for (int i = 0; i < SLOT_COUNT; i++) {
            Optional<RecordFile.StoredRecord> stored = slots.get(i).snapshot().read(0);
            if (stored.isEmpty()) {
                continue;
            }
            DataInputStream content = stored.get().content();
            long storedSequence = content.readLong();
            if (storedSequence > sequence) {
                sequence = storedSequence;
                currentSlot = i;
                snapshot = readState(content);
            }
        }
        if (currentSlot == NO_SLOT) {
            return Optional.empty();
        }
        ReplayedLog replayed = replayLog(snapshot);
        durableState = replayed.state();
        logEndPosition = replayed.endPosition();
        return Optional.of(durableState);
    }

    private ReplayedLog replayLog(AcceptorState snapshot) throws IOException {
        RecordFile log = slots.get(currentSlot).log();
        AcceptorState state = snapshot;
        long position = 0;
        Optional<RecordFile.StoredRecord> next = log.read(position);
        while (next.isPresent()) {
            DataInputStream content = next.get().content();
            if (content.readLong() != sequence) {
                break;
            }
            state =
                    content.readByte() == PROMISE
                            ? state.promise(ValueCodec.readBallot(content))
                            : readState(content);
            position = next.get().endPosition();
            next = log.read(position);
        }
        return new ReplayedLog(state, position);
    }

    /**
     * Compares what is on disk with the state in memory, and writes a new snapshot if they differ.
     *
     * @return whether the files were intact, or there was nothing to compare
     */
    @Override
    public boolean scrub() throws IOException {
        if (currentSlot == NO_SLOT || logEndUncertain) {
            return true;
        }
        boolean intact = isStoredStateIntact();
        if (!intact) {
            // The write must not append to a damaged log.
            logEndUncertain = true;
            write(durableState);
        }
        return intact;
    }

    private boolean isStoredStateIntact() throws IOException {
        Optional<RecordFile.StoredRecord> stored = slots.get(currentSlot).snapshot().read(0);
        if (stored.isEmpty() || stored.get().content().readLong() != sequence) {
            return false;
        }
        ReplayedLog replayed = replayLog(readState(stored.get().content()));
        return replayed.state().equals(durableState) && replayed.endPosition() == logEndPosition;
    }

    /**
     * Writes a state and forces it to disk: once this returns, it survives a loss of power. After
     * an exception it may be lost or not.
     */
    @Override
    public void write(AcceptorState state) throws IOException {
        boolean needsSnapshot =
                logEndUncertain || currentSlot == NO_SLOT || logEndPosition > MAX_LOG_BYTES;
        logEndUncertain = true;
        if (needsSnapshot) {
            writeSnapshot(state);
        } else {
            appendToLog(state);
        }
        durableState = state;
        logEndUncertain = false;
    }

    private void writeSnapshot(AcceptorState state) throws IOException {
        int nextSlot = currentSlot == NO_SLOT ? 0 : (currentSlot + 1) % SLOT_COUNT;
        Slot slot = slots.get(nextSlot);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        // Never reuse a sequence number: a failed write may nevertheless be complete on disk.
        sequence++;
        out.writeLong(sequence);
        writeState(out, state);
        slot.log().clear();
        slot.snapshot().write(0, bytes.toByteArray());
        currentSlot = nextSlot;
        logEndPosition = 0;
    }

    private void appendToLog(AcceptorState state) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(sequence);
        if (durableState != null && state.accepted().equals(durableState.accepted())) {
            out.writeByte(PROMISE);
            ValueCodec.writeBallot(out, state.promised());
        } else {
            out.writeByte(STATE);
            writeState(out, state);
        }
        logEndPosition = slots.get(currentSlot).log().write(logEndPosition, bytes.toByteArray());
    }

    private static void writeState(DataOutputStream out, AcceptorState state) throws IOException {
        ValueCodec.writeBallot(out, state.promised());
        ValueCodec.writeBallot(out, state.accepted());
        ValueCodec.writeLastValue(out, state.value());
    }

    private static AcceptorState readState(DataInputStream in) throws IOException {
        return new AcceptorState(
                ValueCodec.readBallot(in), ValueCodec.readBallot(in), ValueCodec.readLastValue(in));
    }

    @Override
    public void close() throws IOException {
        for (Slot slot : slots) {
            slot.snapshot().close();
            slot.log().close();
        }
    }
}
