package poppynotch.lab.world;

import java.util.List;
import java.util.function.Consumer;
import poppynotch.balancer.ServerState;

/** Passes what happens on to several listeners, in their order. */
public final class CompositeWorldListener implements WorldListener {

    private final List<WorldListener> all;

    /** Passes on to these. */
    public CompositeWorldListener(WorldListener... listeners) {
        all = List.of(listeners);
    }

    private void each(Consumer<WorldListener> what) {
        all.forEach(what);
    }

    @Override
    public void offered(double now, ClientRequest first) {
        each(f -> f.offered(now, first));
    }

    @Override
    public void settled(double now, ClientRequest first, Answer.Kind how) {
        each(f -> f.settled(now, first, how));
    }

    @Override
    public void taken(double now, Call call) {
        each(f -> f.taken(now, call));
    }

    @Override
    public void answered(double now, Call call, Answer answer) {
        each(f -> f.answered(now, call, answer));
    }

    @Override
    public void left(double now, Call call) {
        each(f -> f.left(now, call));
    }

    @Override
    public void sent(double now, Call call, ModelServer nodo) {
        each(f -> f.sent(now, call, nodo));
    }

    @Override
    public void unconnected(double now, Call call, ModelServer nodo) {
        each(f -> f.unconnected(now, call, nodo));
    }

    @Override
    public void arrived(double now, Call call, ModelServer nodo, int attempt) {
        each(f -> f.arrived(now, call, nodo, attempt));
    }

    @Override
    public void ended(
            double now, Call call, ModelServer nodo, int attempt, End end, boolean began) {
        each(f -> f.ended(now, call, nodo, attempt, end, began));
    }

    @Override
    public void worked(double now, ModelServer nodo, double workMs) {
        each(f -> f.worked(now, nodo, workMs));
    }

    @Override
    public void told(double now, int sidecar, String nodo, ServerState state, double startedMs) {
        each(f -> f.told(now, sidecar, nodo, state, startedMs));
    }

    @Override
    public void sidecar(double now, int sidecar, boolean up) {
        each(f -> f.sidecar(now, sidecar, up));
    }

    @Override
    public void pushedOver(double now, ModelServer nodo, double byInformed) {
        each(f -> f.pushedOver(now, nodo, byInformed));
    }

    @Override
    public void crashed(double now, int sidecar, String how) {
        each(f -> f.crashed(now, sidecar, how));
    }
}
