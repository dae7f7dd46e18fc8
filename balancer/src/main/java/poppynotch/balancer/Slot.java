package poppynotch.balancer;

import java.util.Comparator;

/**
 * Permits one call at a time at one server. A slot is either in the {@link SlotPool}, or it is the
 * server's spare: the next one that the pool may adopt.
 */
final class Slot {

    /** By rank; equal ranks by the server's hash, its ID and the slot's number. */
    static final Comparator<Slot> BY_RANK =
            Comparator.<Slot>comparingDouble(slot -> slot.rank)
                    .thenComparingLong(slot -> slot.server.hash)
                    .thenComparing(slot -> slot.server.id)
                    .thenComparingInt(slot -> slot.number);

    final TrackedServer server;

    /** Its number among the server's slots, from 0. */
    final int number;

    /** Its rank by {@link ServerRanking}, at the server's current ring position and cost. */
    double rank;

    /** An attempt is in flight on it. */
    boolean busy;

    /** The response of its attempt is being streamed to the client. */
    boolean streaming;

    /** Its last attempt got a response: a connection for it is open. */
    boolean connected;

    /** It was removed from the pool, possibly with an attempt still in flight. */
    boolean discarded;

    Slot(TrackedServer server, int number) {
        this.server = server;
        this.number = number;
    }
}
