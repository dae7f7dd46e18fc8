package poppynotch.control;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Holds back operators' changes while the initial acceptor set is too small for the number of disk
 * losses to be tolerated, as acknowledged changes could be lost with those disks. The set grows
 * within a second or two after the first start, once other replicas are in contact.
 *
 * <p>The gate opens permanently once the set tolerates the losses, or a configuration is chosen, or
 * after {@value #MAX_WAIT_MS} ms, as the set can't grow while replicas are missing. The missing
 * replicas then count as losses, so that fewer further ones are tolerated.
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

    /** Creates a closed gate; the conditions for opening it are checked with each call. */
    InitialGrowthGate(RegisterReplica register, int toleratedLosses, long nowMs) {
        this.register = register;
        this.toleratedLosses = toleratedLosses;
        openAtMs = nowMs + MAX_WAIT_MS;
    }

    /**
     * Runs exactly one of the two, once: {@code submit} now or when the gate opens, or {@code
     * giveUp} if the deadline passes first.
     */
    void whenOpen(long nowMs, long deadlineMs, Runnable submit, Runnable giveUp) {
        held.add(new HeldChange(deadlineMs, submit, giveUp));
        tick(nowMs);
    }

    /** Submits the held changes if the gate is open, and gives up those past their deadline. */
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
                        || register.acceptors().toleratesDiskLosses(toleratedLosses);
        return open;
    }
}
