package poppynotch.balancer;

import java.util.List;

/**
 * What happens to a balancer. Its host calls these methods from one thread; each carries the time
 * on the host's monotonic clock, in ms.
 */
public interface BalancerEvents {
    /** Discovery has sent a list, or changes to it, or has failed to. */
    void onServerList(double nowMs, ServerListKind kind, List<Server> entries);

    /**
     * New settings are in force from now on; open requests keep the class, its rules and the number
     * of attempts that they came under. A class's index in the list may be another.
     */
    void onSettings(double nowMs, BalancerSettings settings);

    /**
     * Operators take a server out of service, whatever lists say, or let it serve again.
     *
     * @param out whether it is out of service from now on
     */
    void onMaintenance(double nowMs, String server, boolean out);

    /** The fleet has advice, in place of what it advised before. A policy may ignore it. */
    default void onFleetAdvice(double nowMs, FleetAdvice guidance) {}

    /** A client has sent a request; the balancer must give it one final answer. */
    void onRequest(double nowMs, Request request);

    /**
     * A streamed answer has begun: the client receives it from now on, and no time-out runs any
     * more. The time in the attempt's result is the time until now.
     */
    void onStreamStarted(double nowMs, String request, int attempt);

    /** An attempt has ended. */
    void onAttemptFinished(double nowMs, AttemptResult finished);

    /** The client of a request is gone: it needs no answer any more. */
    void onClientGone(double nowMs, String request);

    /** A timer set by {@link BalancerActions#startTimer} has come due. */
    void onTimer(double nowMs, long name);
}
