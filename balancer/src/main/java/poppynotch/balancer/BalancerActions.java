package poppynotch.balancer;

/**
 * What a balancer has its host do, in the order of the calls. The host implements it; the balancer
 * calls it from within the methods of {@link BalancerEvents}, on the same thread.
 */
public interface BalancerActions {
    /**
     * Starts the request's next attempt; attempts are numbered from 0. Its time-out counts from the
     * request's last byte, which may be to come. A request that is no longer buffered completely
     * cannot be sent again: the attempt ends as {@link AttemptOutcome#IGNORED}.
     */
    void send(String request, String server, double timeoutMs);

    /** Final answer: rejected, and safe to send again after the cool-down. */
    void reject(String request, double coolDownMs);

    /** Final answer: failed; nothing is said of its effect. */
    void fail(String request);

    /** Gives up waiting for one attempt. */
    void cancel(String request, int attempt);

    /** Asks for a call of {@link BalancerEvents#onTimer} with that name after that time. */
    void startTimer(double inMs, long name);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(String server);

    /** Asks discovery for the list and its changes from now on. */
    void subscribe();

    /** A line for the operators. */
    void log(String line);
}
