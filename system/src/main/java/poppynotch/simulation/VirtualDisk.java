package poppynotch.simulation;

import java.util.List;
import poppynotch.register.AcceptorState;
import poppynotch.wire.ServerRecord;

/**
 * The disk of a control-plane replica, which persists across restarts of the replica. Writes to its
 * files take time, hang or fail.
 */
final class VirtualDisk {

    /** The health of the disk. */
    enum Condition {
        GOOD,
        SLOW,
        STALLED,
        FULL
    }

    private static final long WRITE_MS = 2;
    private static final long SLOW_WRITE_MS = 60;

    private final VirtualFile<AcceptorState> acceptor;
    private final VirtualFile<List<ServerRecord>> departures;
    private Condition condition = Condition.GOOD;

    VirtualDisk(VirtualTime time, SeededDefect defect) {
        acceptor = new VirtualFile<>(time, this, defect == SeededDefect.ANSWER_BEFORE_SYNC);
        departures =
                new VirtualFile<>(
                        time, this, defect == SeededDefect.DEPARTURE_ACKNOWLEDGED_BEFORE_SYNC);
    }

    /** The state of the replica's acceptor. */
    VirtualFile<AcceptorState> acceptor() {
        return acceptor;
    }

    /** The servers that drain or have left. */
    VirtualFile<List<ServerRecord>> departures() {
        return departures;
    }

    /** Called when the process has ended: unfinished writes are lost. */
    void onProcessEnded() {
        acceptor.onProcessEnded();
        departures.onProcessEnded();
    }

    /** Deletes the content. */
    void wipe() {
        acceptor.wipe();
        departures.wipe();
    }

    void setCondition(Condition next) {
        condition = next;
        acceptor.startNextWrite();
        departures.startNextWrite();
    }

    /** Whether writes succeed, also if slowly. */
    boolean takesWrites() {
        return condition == Condition.GOOD || condition == Condition.SLOW;
    }

    /** Whether writes hang. */
    boolean isStalled() {
        return condition == Condition.STALLED;
    }

    /** How long a write takes. */
    long writeMs() {
        return condition == Condition.SLOW ? SLOW_WRITE_MS : WRITE_MS;
    }
}
