package poppynotch.fleet.host;

import java.net.InetAddress;

/**
 * What the links between places do to messages, in trials on one machine: they are delayed, or cut.
 * A process that serves has none, and its messages go straight to the socket. Asked by the event
 * loops of all members that share one, for each message, so it must be quick and safe for several
 * threads.
 */
public interface LinkEmulation {

    /** What {@link #delayMs} says of a link that carries nothing. */
    double CUT = -1;

    /**
     * How long a message is under way from one address to another, in ms from 0 on, or {@link
     * #CUT}.
     */
    double delayMs(InetAddress from, InetAddress to);

    /** Whether who sends from there delays what it sends itself; else whoever receives it does. */
    boolean emulates(InetAddress from);

    /** Whether the two stand in different regions, traffic between which is counted by itself. */
    boolean isFar(InetAddress from, InetAddress to);
}
