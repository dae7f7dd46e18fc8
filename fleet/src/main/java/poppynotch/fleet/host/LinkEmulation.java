package poppynotch.fleet.host;

import java.net.InetAddress;

/**
 * Emulates the network links between failure domains, in trials on one machine: messages are
 * delayed or lost. A process in operation has none, and its messages go straight to the socket.
 *
 * <p>Called for each message by the event loops of all members that share one, so an implementation
 * must be fast and thread-safe.
 */
public interface LinkEmulation {

    /** What {@link #delayMs} returns for a link that is cut. */
    double CUT = -1;

    /**
     * One-way delay from one address to another in milliseconds, from 0 on, or {@link #CUT}.
     *
     * @param from address of the sender
     * @param to address of the receiver
     */
    double delayMs(InetAddress from, InetAddress to);

    /**
     * Whether a sender at an address delays its messages itself; otherwise the receiver does that.
     */
    boolean delaysOwnMessages(InetAddress from);

    /** Whether two addresses are in different regions; traffic between these is counted apart. */
    boolean isCrossRegion(InetAddress from, InetAddress to);
}
