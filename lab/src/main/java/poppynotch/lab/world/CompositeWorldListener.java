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

    private void notifyAllListeners(Consumer<WorldListener> notification) {
        listeners.forEach(notification);
    }

    @Override
    public void onClientRequest(double now, ClientRequest clientRequest) {
        notifyAllListeners(listener -> listener.onClientRequest(now, clientRequest));
    }

    @Override
    public void onClientRequestCompleted(double now, ClientRequest clientRequest, Answer.Kind how) {
        notifyAllListeners(listener -> listener.onClientRequestCompleted(now, clientRequest, how));
    }

    @Override
    public void onCallAccepted(double now, Call call) {
        notifyAllListeners(listener -> listener.onCallAccepted(now, call));
    }

    @Override
    public void onCallAnswered(double now, Call call, Answer answer) {
        notifyAllListeners(listener -> listener.onCallAnswered(now, call, answer));
    }

    @Override
    public void onCallAbandoned(double now, Call call) {
        notifyAllListeners(listener -> listener.onCallAbandoned(now, call));
    }

    @Override
    public void onAttemptSent(double now, Call call, ModelServer modelServer) {
        notifyAllListeners(listener -> listener.onAttemptSent(now, call, modelServer));
    }

    @Override
    public void onConnectFailed(double now, Call call, ModelServer modelServer) {
        notifyAllListeners(listener -> listener.onConnectFailed(now, call, modelServer));
    }

    @Override
    public void onAttemptArrived(double now, Call call, ModelServer modelServer, int attempt) {
        notifyAllListeners(listener -> listener.onAttemptArrived(now, call, modelServer, attempt));
    }

    @Override
    public void onAttemptEnded(
            double now, Call call, ModelServer modelServer, int attempt, End end, boolean began) {
        notifyAllListeners(
                listener -> listener.onAttemptEnded(now, call, modelServer, attempt, end, began));
    }

    @Override
    public void onWorkDone(double now, ModelServer modelServer, double workMs) {
        notifyAllListeners(listener -> listener.onWorkDone(now, modelServer, workMs));
    }

    @Override
    public void onServerStateDelivered(
            double now, int sidecar, String modelServer, ServerState state, double startedMs) {
        notifyAllListeners(
                f -> f.onServerStateDelivered(now, sidecar, modelServer, state, startedMs));
    }

    @Override
    public void onSidecarStateChanged(double now, int sidecar, boolean up) {
        notifyAllListeners(listener -> listener.onSidecarStateChanged(now, sidecar, up));
    }

    @Override
    public void onServerCollapsed(double now, ModelServer modelServer, double byInformed) {
        notifyAllListeners(listener -> listener.onServerCollapsed(now, modelServer, byInformed));
    }

    @Override
    public void onSidecarCrashed(double now, int sidecar, String how) {
        notifyAllListeners(listener -> listener.onSidecarCrashed(now, sidecar, how));
    }
}
