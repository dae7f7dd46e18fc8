package poppynotch.sidecar;

import java.util.List;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.Server;

/**
 * Observes the requests and attempts of a sidecar, for its fleet; there is none if the process is
 * in no fleet. {@link Exchange} calls it on the sidecar's event loop.
 */
interface OutcomeListener {

    /** A list of servers was received: all of them if {@code full}, else changes. */
    void onServerList(boolean full, List<Server> servers);

    /**
     * A client's request was received.
     *
     * @param tenant the position of its tenant in the settings
     */
    void onRequest(int tenant);

    /**
     * An attempt at a server has ended; {@code late} if it took longer than its class's latency
     * target.
     */
    void onAttemptFinished(String server, AttemptOutcome outcome, boolean late);
}
