package poppynotch.balancer;

/**
 * The actions of a balancer, carried out by its host in the order of the calls. The balancer calls
 * these methods from within those of {@link BalancerEvents}, on the same thread.
 */
public interface BalancerActions {
    /**
     * Starts the next attempt of a request; attempts are numbered from 0. The timeout starts at the
     * request's last byte, which may not have arrived yet. A request that is no longer buffered
     * completely cannot be sent again: its attempt ends as {@link AttemptOutcome#IGNORED}.
     */
    void send(String request, String server, double timeoutMs);

    /** Sends the final response: rejected, and safe to send again after the cool-down. */
    void reject(String request, double coolDownMs);

    /** Sends the final response: failed, without stating whether the request took effect. */
    void fail(String request);

    /** Stops waiting for one attempt. */
    void cancel(String request, int attempt);

    /** Schedules a call of {@link BalancerEvents#onTimer} with this ID after the delay. */
    void startTimer(double delayMs, long timerId);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(String server);

    /** Requests the server list from discovery, and its changes from then on. */
    void subscribe();

    /** Writes a line to the operators' log. */
    void log(String line);
}
