package poppynotch.lab.world;

import poppynotch.balancer.ServerState;

/**
 * Notified of what happens in a simulated world, as it happens, on the world's thread. Times are
 * milliseconds on the day's clock.
 */
public interface WorldListener {

    /** How an attempt ended, as the model server sees it. */
    enum End {
        /** Answered. */
        SERVED,
        /** Answered with an error. */
        ERROR,
        /** Rejected before it began, as the queue was full. */
        TURNED_AWAY,
        /** The connection broke. */
        RESET,
        /** Answered with what cannot be read. */
        GARBLED,
        /** Abandoned by the sidecar. */
        LEFT
    }

    /** A client's request arrived, with its first attempt to follow. */
    default void onClientRequest(double now, ClientRequest clientRequest) {}

    /** A client's request is complete: served now, or never. */
    default void onClientRequestCompleted(
            double now, ClientRequest clientRequest, Answer.Kind how) {}

    /** A sidecar has accepted a request. */
    default void onCallAccepted(double now, Call call) {}

    /** A caller has a final answer. */
    default void onCallAnswered(double now, Call call, Answer answer) {}

    /** A caller has stopped waiting. */
    default void onCallAbandoned(double now, Call call) {}

    /** An attempt was sent to a model server, which may be unreachable. */
    default void onAttemptSent(double now, Call call, ModelServer modelServer) {}

    /** An attempt could not connect. */
    default void onConnectFailed(double now, Call call, ModelServer modelServer) {}

    /** An attempt has arrived completely at a model server; attempts of a call count from 0. */
    default void onAttemptArrived(double now, Call call, ModelServer modelServer, int attempt) {}

    /** An attempt at a model server has ended; {@code began} is false only if it never ran. */
    default void onAttemptEnded(
            double now, Call call, ModelServer modelServer, int attempt, End end, boolean began) {}

    /** A model server has worked for so many core milliseconds. */
    default void onWorkDone(double now, ModelServer modelServer, double workMs) {}

    /** Discovery has notified a sidecar of a model server's state. */
    default void onServerStateDelivered(
            double now, int sidecar, String modelServer, ServerState state, double startedMs) {}

    /** A sidecar has started or ended. */
    default void onSidecarStateChanged(double now, int sidecar, boolean up) {}

    /**
     * A server collapsed while warming up; {@code byInformed} is the fraction of its work that came
     * from sidecars which knew of its start.
     */
    default void onServerCollapsed(double now, ModelServer modelServer, double byInformed) {}

    /** A sidecar's process has crashed. */
    default void onSidecarCrashed(double now, int sidecar, String how) {}
}
