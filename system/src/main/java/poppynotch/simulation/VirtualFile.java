package poppynotch.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import poppynotch.control.StateStorage;

/**
 * A state on a {@link VirtualDisk}, which persists across restarts of the replica. Writes that are
 * unfinished when the process ends are lost.
 *
 * @param <S> the type of the state
 */
final class VirtualFile<S> implements StateStorage<S> {

    /** Delay of the writes of a file that acknowledges them before they are durable. */
    private static final long LATE_WRITE_MS = 40;

    /**
     * A requested write.
     *
     * @param state null if {@code onDurable} only has to run after the earlier writes
     */
    private record Write<S>(S state, Runnable onDurable) {}

    private final VirtualTime time;
    private final VirtualDisk disk;
    private final boolean acknowledgesBeforeWrite;
    private final List<Write<S>> pendingWrites = new ArrayList<>();

    /** Null if the file is empty. */
    private S durableState;

    /** The latest state of failed or unfinished writes; null for none. */
    private S unwrittenState;

    private boolean writeInProgress;

    /** How many processes have ended; identifies the process that requested a write. */
    private int processCount;

    VirtualFile(VirtualTime time, VirtualDisk disk, boolean acknowledgesBeforeWrite) {
        this.time = time;
        this.disk = disk;
        this.acknowledgesBeforeWrite = acknowledgesBeforeWrite;
    }

    Optional<S> read() {
        return Optional.ofNullable(durableState);
    }

    /** Called when the process has ended: unfinished writes are lost. */
    void onProcessEnded() {
        processCount++;
        pendingWrites.clear();
        unwrittenState = null;
        writeInProgress = false;
    }

    /** Deletes the content. */
    void wipe() {
        durableState = null;
    }

    /** Sets the initial state, before the first process starts to serve. */
    void bootstrap(S state) {
        durableState = state;
    }

    @Override
    public void persist(S state, Runnable onDurable) {
        if (acknowledgesBeforeWrite) {
            time.after(0, unlessProcessEnded(onDurable));
            time.after(
                    LATE_WRITE_MS,
                    unlessProcessEnded(() -> durableState = state == null ? durableState : state));
            return;
        }
        pendingWrites.add(new Write<>(state, onDurable));
        startNextWrite();
    }

    private Runnable unlessProcessEnded(Runnable action) {
        int requestedBy = processCount;
        return () -> {
            if (processCount == requestedBy) {
                action.run();
            }
        };
    }

    /** Writes all pending states as one, since each state contains the ones before it. */
    void startNextWrite() {
        if (writeInProgress || pendingWrites.isEmpty() || disk.isStalled()) {
            return;
        }
        writeInProgress = true;
        List<Write<S>> batch = List.copyOf(pendingWrites);
        pendingWrites.clear();
        time.after(disk.writeMs(), unlessProcessEnded(() -> onWriteFinished(batch)));
    }

    private void onWriteFinished(List<Write<S>> batch) {
        writeInProgress = false;
        for (Write<S> write : batch) {
            if (write.state() != null) {
                unwrittenState = write.state();
            }
        }
        if (disk.isStalled()) {
            pendingWrites.addAll(0, batch);
            return;
        }
        if (disk.takesWrites()) {
            durableState = unwrittenState == null ? durableState : unwrittenState;
            unwrittenState = null;
            batch.forEach(write -> write.onDurable().run());
        }
        startNextWrite();
    }
}
