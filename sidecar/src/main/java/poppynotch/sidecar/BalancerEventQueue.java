package poppynotch.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Events for the balancer, in order: an event that is added while another is being delivered is
 * queued, so that the balancer is never called from within its own call. It is owned by {@link
 * Exchange} and called on the sidecar's event loop only.
 */
final class BalancerEventQueue {

    /** An event that calls the balancer with the time of its delivery. */
    interface BalancerEvent {
        void deliver(double nowMs);
    }

    /** Delivers one event; it must not throw. */
    interface EventHandler {
        void deliver(OpenRequest request, BalancerEvent event);
    }

    private record QueuedEvent(OpenRequest request, BalancerEvent event) {}

    private final EventHandler handler;
    private final Deque<QueuedEvent> pending = new ArrayDeque<>();
    private boolean delivering;

    BalancerEventQueue(EventHandler handler) {
        this.handler = handler;
    }

    /**
     * Delivers an event and those that it causes, or queues it if a delivery is in progress.
     *
     * @param request the request that the event is about, or null
     */
    void add(OpenRequest request, BalancerEvent event) {
        pending.add(new QueuedEvent(request, event));
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (QueuedEvent next = pending.poll(); next != null; next = pending.poll()) {
                handler.deliver(next.request(), next.event());
            }
        } finally {
            delivering = false;
        }
    }
}
