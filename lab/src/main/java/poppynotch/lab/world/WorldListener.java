package poppynotch.lab.world;

import poppynotch.balancer.ServerState;

/**
 * What happens in a world, told as it happens to whoever counts or judges it. Times are
 * milliseconds.
 */
public interface WorldListener {

    /** How an attempt at a model server ended, as the model server sees it. */
    enum End {
        /** Answered. */
        SERVED,
        /** Answered with an error. */
        ERROR,
        /** Turned away before it began. */
        TURNED_AWAY,
        /** The connection broke. */
        RESET,
        /** Answered with what cannot be read. */
        GARBLED,
        /** Called off by the sidecar. */
        LEFT
    }

    /** A client has something new to ask. */
    default void onClientRequest(double now, ClientRequest first) {}

    /** A client is done asking: served now, or not at all. */
    default void onClientRequestCompleted(double now, ClientRequest first, Answer.Kind how) {}

    /** A sidecar has taken a request. */
    default void taken(double now, Call call) {}

    /** A caller has a final answer. */
    default void onCallAnswered(double now, Call call, Answer answer) {}

    /** A caller has stopped waiting, or its sidecar was killed with the request in hand. */
    default void onCallAbandoned(double now, Call call) {}

    /** An attempt was sent to a model server, which may be out of reach. */
    default void sent(double now, Call call, ModelServer modelServer) {}

    /** An attempt got no connection. */
    default void onConnectFailed(double now, Call call, ModelServer modelServer) {}

    /** An attempt has reached a model server whole; it is the call's {@code attempt}th, from 0. */
    default void onAttemptArrived(double now, Call call, ModelServer modelServer, int attempt) {}

    /** An attempt at a model server has ended; {@code began} is false where it surely never ran. */
    default void ended(
            double now, Call call, ModelServer modelServer, int attempt, End end, boolean began) {}

    /** A model server has worked for so many core milliseconds. */
    default void onWorkDone(double now, ModelServer modelServer, double workMs) {}

    /** Discovery has told a sidecar of a model server. */
    default void onServerStateDelivered(
            double now, int sidecar, String modelServer, ServerState state, double startedMs) {}

    /** A sidecar has started or ended. */
    default void sidecar(double now, int sidecar, boolean up) {}

    /**
     * A cold model server was sent more than it could bear, this part of it by sidecars that knew
     * of its start.
     */
    default void onServerCollapsed(double now, ModelServer modelServer, double byInformed) {}

    /** A sidecar's process has ended by itself. */
    default void crashed(double now, int sidecar, String how) {}
}
