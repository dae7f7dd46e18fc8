package poppynotch.lab.world;

import java.util.List;
import java.util.function.Consumer;
import poppynotch.balancer.ServerState;

/** Passes what happens on to several listeners, in their order. */
public final class CompositeWorldListener implements WorldListener {

    private final List<WorldListener> listeners;

    /** Passes on to these. */
    public CompositeWorldListener(WorldListener... listeners) {
        this.listeners = List.of(listeners);
    }

    private void notifyAllListeners(Consumer<WorldListener> what) {
        listeners.forEach(what);
    }

    @Override
    public void onClientRequest(double now, ClientRequest first) {
        notifyAllListeners(f -> f.onClientRequest(now, first));
    }

    @Override
    public void onClientRequestCompleted(double now, ClientRequest first, Answer.Kind how) {
        notifyAllListeners(f -> f.onClientRequestCompleted(now, first, how));
    }

    @Override
    public void taken(double now, Call call) {
        notifyAllListeners(f -> f.taken(now, call));
    }

    @Override
    public void onCallAnswered(double now, Call call, Answer answer) {
        notifyAllListeners(f -> f.onCallAnswered(now, call, answer));
    }

    @Override
    public void onCallAbandoned(double now, Call call) {
        notifyAllListeners(f -> f.onCallAbandoned(now, call));
    }

    @Override
    public void sent(double now, Call call, ModelServer modelServer) {
        notifyAllListeners(f -> f.sent(now, call, modelServer));
    }

    @Override
    public void onConnectFailed(double now, Call call, ModelServer modelServer) {
        notifyAllListeners(f -> f.onConnectFailed(now, call, modelServer));
    }

    @Override
    public void onAttemptArrived(double now, Call call, ModelServer modelServer, int attempt) {
        notifyAllListeners(f -> f.onAttemptArrived(now, call, modelServer, attempt));
    }

    @Override
    public void ended(
            double now, Call call, ModelServer modelServer, int attempt, End end, boolean began) {
        notifyAllListeners(f -> f.ended(now, call, modelServer, attempt, end, began));
    }

    @Override
    public void onWorkDone(double now, ModelServer modelServer, double workMs) {
        notifyAllListeners(f -> f.onWorkDone(now, modelServer, workMs));
    }

    @Override
    public void onServerStateDelivered(
            double now, int sidecar, String modelServer, ServerState state, double startedMs) {
        notifyAllListeners(
                f -> f.onServerStateDelivered(now, sidecar, modelServer, state, startedMs));
    }

    @Override
    public void sidecar(double now, int sidecar, boolean up) {
        notifyAllListeners(f -> f.sidecar(now, sidecar, up));
    }

    @Override
    public void onServerCollapsed(double now, ModelServer modelServer, double byInformed) {
        notifyAllListeners(f -> f.onServerCollapsed(now, modelServer, byInformed));
    }

    @Override
    public void crashed(double now, int sidecar, String how) {
        notifyAllListeners(f -> f.crashed(now, sidecar, how));
    }
}
