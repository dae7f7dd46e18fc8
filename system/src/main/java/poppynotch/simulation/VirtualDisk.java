package poppynotch.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import poppynotch.control.AcceptorStorage;
import poppynotch.register.AcceptorState;

/**
 * The disk of a control-plane replica, which persists across restarts of the replica. Writes take
 * time, hang or fail. Writes that are unfinished when the process ends are lost.
 */
final class VirtualDisk implements AcceptorStorage {

    /** The health of the disk. */
    enum Condition {
        GOOD,
        SLOW,
        STALLED,
        FULL
    }

    private static final long WRITE_MS = 2;
    private static final long SLOW_WRITE_MS = 60;

    /** Delay of the writes of a disk that acknowledges them before they are durable. */
    private static final long LATE_WRITE_MS = 40;

    /**
     * A requested write.
     *
     * @param state null if {@code onDurable} only has to run after the earlier writes
     */
    private record Write(AcceptorState state, Runnable onDurable) {}

    private final VirtualTime time;
    private final boolean acknowledgesBeforeWrite;
    private final List<Write> pendingWrites = new ArrayList<>();
    private Condition condition = Condition.GOOD;

    /** Null if the disk is empty. */
    private AcceptorState durableState;

    /** The latest state of failed or unfinished writes; null for none. */
    private AcceptorState unwrittenState;

    private boolean writeInProgress;

    /** How many processes have ended; identifies the process that requested a write. */
    private int processCount;

    VirtualDisk(VirtualTime time, boolean acknowledgesBeforeWrite) {
        this.time = time;
        this.acknowledgesBeforeWrite = acknowledgesBeforeWrite;
    }

    Optional<AcceptorState> read() {
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
    void bootstrap(AcceptorState state) {
        durableState = state;
    }

    void setCondition(Condition next) {
        condition = next;
        startNextWrite();
    }

    /** Whether writes succeed, also if slowly. */
    boolean takesWrites() {
        return condition == Condition.GOOD || condition == Condition.SLOW;
    }

    @Override
    public void persist(AcceptorState state, Runnable onDurable) {
        if (acknowledgesBeforeWrite) {
            time.after(0, unlessProcessEnded(onDurable));
            time.after(
                    LATE_WRITE_MS,
                    unlessProcessEnded(() -> durableState = state == null ? durableState : state));
            return;
        }
        pendingWrites.add(new Write(state, onDurable));
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
    private void startNextWrite() {
        if (writeInProgress || pendingWrites.isEmpty() || condition == Condition.STALLED) {
            return;
        }
        writeInProgress = true;
        List<Write> batch = List.copyOf(pendingWrites);
        pendingWrites.clear();
        time.after(
                condition == Condition.SLOW ? SLOW_WRITE_MS : WRITE_MS,
                unlessProcessEnded(() -> onWriteFinished(batch)));
    }

    private void onWriteFinished(List<Write> batch) {
        writeInProgress = false;
        for (Write write : batch) {
            if (write.state() != null) {
                unwrittenState = write.state();
            }
        }
        if (condition == Condition.STALLED) {
            pendingWrites.addAll(0, batch);
            return;
        }
        if (condition != Condition.FULL) {
            durableState = unwrittenState == null ? durableState : unwrittenState;
            unwrittenState = null;
            batch.forEach(write -> write.onDurable().run());
        }
        startNextWrite();
    }
}
