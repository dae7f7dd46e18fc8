package poppynotch.fleet.host;

import java.net.InetAddress;

/**
 * Emulates the network links between failure domains, in trials on one machine: messages are
 * delayed or lost. A process in operation uses no emulation and writes directly to the socket.
 *
 * <p>Members may share one instance, which the event loop of each calls for every message, so an
 * implementation must be fast and thread-safe.
 */
public interface LinkEmulation {

    /** The result of {@link #delayMs} for a link that is cut. */
    double CUT = -1;

    /**
     * One-way delay from one address to another in milliseconds, at least 0, or {@link #CUT}.
     *
     * @param from address of the sender
     * @param to address of the receiver
     */
    double delayMs(InetAddress from, InetAddress to);

    /** Whether a sender at an address delays its messages itself; otherwise the receiver does. */
    boolean delaysOwnMessages(InetAddress from);

    /** Whether two addresses are in different regions; such traffic is counted separately. */
    boolean isCrossRegion(InetAddress from, InetAddress to);
}
