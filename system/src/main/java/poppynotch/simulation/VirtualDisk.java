package poppynotch.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import poppynotch.control.AcceptorStorage;
import poppynotch.register.AcceptorState;

/**
 * A disk whose writes take time, hang or fail. What was not written when its process ends is lost.
 */
final class VirtualDisk implements AcceptorStorage {

    /** How the disk is. */
    enum Condition {
        GOOD,
        SLOW,
        STALLED,
        FULL
    }

    private static final long GOOD_MS = 2;
    private static final long SLOW_MS = 60;

    /** How late a disk writes that tells of writes too soon. */
    private static final long LATE_MS = 40;

    private record Write(AcceptorState state, Runnable kept) {}

    private final VirtualTime time;
    private final boolean tellsTooSoon;
    private final List<Write> waiting = new ArrayList<>();
    private Condition condition = Condition.GOOD;
    private AcceptorState written;
    private AcceptorState unwritten;
    private boolean writing;
    private int life;

    VirtualDisk(VirtualTime time, boolean tellsTooSoon) {
        this.time = time;
        this.tellsTooSoon = tellsTooSoon;
    }

    Optional<AcceptorState> read() {
        return Optional.ofNullable(written);
    }

    /** The process ends: what is under way is lost. */
    void processEnds() {
        life++;
        waiting.clear();
        unwritten = null;
        writing = false;
    }

    void wipe() {
        written = null;
    }

    /** What a process writes before it serves. */
    void writeFirst(AcceptorState state) {
        written = state;
    }

    void become(Condition next) {
        condition = next;
        writeNext();
    }

    @Override
    public void persist(AcceptorState state, Runnable kept) {
        if (tellsTooSoon) {
            time.after(0, inLife(kept));
            time.after(LATE_MS, inLife(() -> written = state == null ? written : state));
            return;
        }
        waiting.add(new Write(state, kept));
        writeNext();
    }

    private Runnable inLife(Runnable action) {
        int ofLife = life;
        return () -> {
            if (life == ofLife) {
                action.run();
            }
        };
    }

    /** All that waits is one write: each state holds what was in those before it. */
    private void writeNext() {
        if (writing || waiting.isEmpty() || condition == Condition.STALLED) {
            return;
        }
        writing = true;
        List<Write> batch = List.copyOf(waiting);
        waiting.clear();
        time.after(condition == Condition.SLOW ? SLOW_MS : GOOD_MS, inLife(() -> wrote(batch)));
    }

    private void wrote(List<Write> batch) {
        writing = false;
        batch.forEach(write -> unwritten = write.state() == null ? unwritten : write.state());
        if (condition == Condition.STALLED) {
            waiting.addAll(0, batch);
            return;
        }
        if (condition != Condition.FULL) {
            written = unwritten == null ? written : unwritten;
            unwritten = null;
            batch.forEach(write -> write.kept().run());
        }
        writeNext();
    }
}
