package poppynotch.balancer;

import java.util.List;

/**
 * The events that a host reports to a balancer. The host calls all methods from one thread; {@code
 * nowMs} is the time on its monotonic clock.
 */
public interface BalancerEvents {
    /** Discovery has sent a server list or changes to it, or a request for the list has failed. */
    void onServerList(double nowMs, ServerListKind kind, List<Server> entries);

    /**
     * New settings apply from now on; open requests keep the class and the maximum attempts under
     * which they arrived. The index of a class in the list may have changed.
     */
    void onSettings(double nowMs, BalancerSettings settings);

    /**
     * An operator has started or ended the maintenance of a server, which overrides server lists.
     *
     * @param inMaintenance whether the server is out of service from now on
     */
    void onMaintenance(double nowMs, String server, boolean inMaintenance);

    /** New advice from the fleet replaces the previous advice. An implementation may ignore it. */
    default void onFleetAdvice(double nowMs, FleetAdvice advice) {}

    /** A client has sent a request; the balancer must give it exactly one final response. */
    void onRequest(double nowMs, Request request);

    /**
     * A streamed response has started: the client receives it from now on, and the attempt has no
     * timeout any more. The duration in the attempt's result ends at this event.
     */
    void onStreamStarted(double nowMs, String request, int attempt);

    /** An attempt has ended. */
    void onAttemptFinished(double nowMs, AttemptResult result);

    /** The client of a request has disconnected and needs no response. */
    void onClientGone(double nowMs, String request);

    /** A timer set by {@link BalancerActions#startTimer} has expired. */
    void onTimer(double nowMs, long timerId);
}
