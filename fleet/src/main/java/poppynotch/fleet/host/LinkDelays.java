package poppynotch.fleet.host;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.util.concurrent.TimeUnit;

/**
 * Delays the messages of a {@link Transport} like the emulated links, in trials only. Owned by the
 * transport and confined to its event loop.
 */
final class LinkDelays {

    /** Maximum number of delayed messages; further messages are dropped and counted. */
    private static final int MAX_MESSAGES_IN_FLIGHT = 1024;

    private final EventLoop loop;
    private final LinkEmulation links;
    private final TransportCounters counters;
    private int messagesInFlight;

    LinkDelays(EventLoop loop, LinkEmulation links, TransportCounters counters) {
        this.loop = loop;
        this.links = links;
        this.counters = counters;
    }

    /** The delay in milliseconds of a message at sending; negative if the link is cut. */
    double sendDelayMs(InetAddress from, InetAddress to, int bytes) {
        if (links.isCrossRegion(from, to)) {
            counters.add("bytes out far", bytes);
        }
        return links.delayMs(from, to);
    }

    /**
     * The delay in milliseconds of a message at receipt; negative if the link is cut, and 0 if the
     * sender delayed the message itself.
     */
    double receiveDelayMs(InetAddress from, InetAddress to) {
        return links.delaysOwnMessages(from) ? 0 : links.delayMs(from, to);
    }

    /**
     * Runs a task after a delay. The timers of an event loop have a resolution of 1 ms.
     *
     * @return false if the task was dropped because too many tasks are delayed
     */
    boolean runDelayed(double delayMs, Runnable task) {
        if (delayMs == 0) {
            task.run();
            return true;
        }
        if (messagesInFlight >= MAX_MESSAGES_IN_FLIGHT) {
            counters.increment("messages dropped under way");
            return false;
        }
        messagesInFlight++;
        loop.schedule(
                () -> {
                    messagesInFlight--;
                    task.run();
                },
                (long) (delayMs * 1e6),
                TimeUnit.NANOSECONDS);
        return true;
    }
}
