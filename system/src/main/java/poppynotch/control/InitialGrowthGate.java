package poppynotch.control;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Holds operators' changes back while the founders' acceptor set is too small to bear as many lost
 * disks as are to be tolerated: what it acknowledged could be lost with them. The set grows within
 * a second or two of the first start, once other replicas are there.
 *
 * <p>The gate opens for good once the set bears the losses, or a configuration is in force, or
 * after {@value #MAX_WAIT_MS} ms, as a set whose replicas are missing can't grow: they count as
 * lost then, so that fewer others may be.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; time is passed in.
 */
final class InitialGrowthGate {

    static final long MAX_WAIT_MS = 4000;

    private record HeldChange(long deadlineMs, Runnable submit, Runnable giveUp) {}

    private final RegisterReplica register;
    private final int toleratedLosses;
    private final long openAtMs;
    private final Deque<HeldChange> held = new ArrayDeque<>();
    private boolean open;

    /** Creates a gate that is closed until the first call that finds it open. */
    InitialGrowthGate(RegisterReplica register, int toleratedLosses, long nowMs) {
        this.register = register;
        this.toleratedLosses = toleratedLosses;
        openAtMs = nowMs + MAX_WAIT_MS;
    }

    /**
     * Runs {@code submit} now or once the gate has opened, or {@code giveUp} at the deadline; one
     * of them, once.
     */
    void whenOpen(long nowMs, long deadlineMs, Runnable submit, Runnable giveUp) {
        held.add(new HeldChange(deadlineMs, submit, giveUp));
        tick(nowMs);
    }

    /** Goes on with the changes that are due. */
    void tick(long nowMs) {
        while (!held.isEmpty() && (isOpen(nowMs) || nowMs >= held.peek().deadlineMs())) {
            HeldChange next = held.poll();
            if (nowMs < next.deadlineMs()) {
                next.submit().run();
            } else {
                next.giveUp().run();
            }
        }
    }

    private boolean isOpen(long nowMs) {
        open =
                open
                        || nowMs >= openAtMs
                        || register.chosenGeneration() > 0
                        || register.acceptors().bearsDiskLosses(toleratedLosses);
        return open;
    }
}
