package poppynotch.balancer;

import java.util.List;

/** What happens to a balancer. Each call carries the host's clock, which never runs backwards. */
public interface BalancerEvents {
    /** Discovery has sent a list, or changes to it, or has failed to. */
    void onServers(double now, ServerListKind kind, List<Server> entries);

    /**
     * The settings are others from now on; requests in hand keep the class, its rules and the
     * number of attempts that they came under. A class's place in the list may be another.
     */
    void onSettings(double now, BalancerSettings settings);

    /** Operators take a server out of service, whatever lists say, or let it serve again. */
    void onMaintenance(double now, String server, boolean out);

    /** The fleet has advice, in place of what it advised before. A policy may well heed none. */
    default void onGuidance(double now, FleetAdvice guidance) {}

    /** A client has sent a request; the balancer now owes it one final answer. */
    void onRequest(double now, Request request);

    /**
     * A streamed answer has begun: it is the client's from now on, and no time runs any more. The
     * time that its end tells is the one to here.
     */
    void onStreamStarted(double now, String request, int attempt);

    /** An attempt has ended. */
    void onFinished(double now, AttemptResult finished);

    /** The client of a request is gone: it is owed nothing any more. */
    void onClientGone(double now, String request);

    /** A timer set by {@link BalancerActions#timer} has come due. */
    void onTimer(double now, long name);
}
