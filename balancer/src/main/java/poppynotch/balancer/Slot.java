package poppynotch.balancer;

import java.util.Comparator;

/**
 * The right to have one call at a time at one server. A slot is either in the {@link SlotPool}, or
 * it is the server's spare: the next one that the pool may take.
 */
final class Slot {

    /** By rank; equal ranks by the server's hash, its name and the slot's number. */
    static final Comparator<Slot> BY_RANK =
            Comparator.<Slot>comparingDouble(slot -> slot.rank)
                    .thenComparingLong(slot -> slot.server.hash)
                    .thenComparing(slot -> slot.server.id)
                    .thenComparingInt(slot -> slot.number);

    final TrackedServer server;

    /** Its number among the server's slots, from 0. */
    final int number;

    /** Its rank by {@link ServerRanking}, at the server's present ring position and cost. */
    double rank;

    /** An attempt is in flight on it. */
    boolean busy;

    /** The answer of its attempt is being streamed to the client. */
    boolean streaming;

    /** An attempt was answered on it and none was lost since: a connection for it stands open. */
    boolean connected;

    /** It left the pool, perhaps while an attempt was still in flight on it. */
    boolean discarded;

    Slot(TrackedServer server, int number) {
        this.server = server;
        this.number = number;
    }
}
