package poppynotch.lab.world;

import java.util.List;
import java.util.function.Consumer;
import poppynotch.balancer.Contract.State;

/** Passes what happens on to several listeners, in their order. */
public final class FactsTo implements Facts {

    private final List<Facts> all;

    /** Passes on to these. */
    public FactsTo(Facts... listeners) {
        all = List.of(listeners);
    }

    private void each(Consumer<Facts> what) {
        all.forEach(what);
    }

    @Override
    public void offered(double now, First first) {
        each(f -> f.offered(now, first));
    }

    @Override
    public void settled(double now, First first, Answer.Kind how) {
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
    public void sent(double now, Call call, Nodo nodo) {
        each(f -> f.sent(now, call, nodo));
    }

    @Override
    public void unconnected(double now, Call call, Nodo nodo) {
        each(f -> f.unconnected(now, call, nodo));
    }

    @Override
    public void arrived(double now, Call call, Nodo nodo, int attempt) {
        each(f -> f.arrived(now, call, nodo, attempt));
    }

    @Override
    public void ended(double now, Call call, Nodo nodo, int attempt, End end, boolean began) {
        each(f -> f.ended(now, call, nodo, attempt, end, began));
    }

    @Override
    public void worked(double now, Nodo nodo, double workMs) {
        each(f -> f.worked(now, nodo, workMs));
    }

    @Override
    public void told(double now, int sidecar, String nodo, State state, double startedMs) {
        each(f -> f.told(now, sidecar, nodo, state, startedMs));
    }

    @Override
    public void sidecar(double now, int sidecar, boolean up) {
        each(f -> f.sidecar(now, sidecar, up));
    }

    @Override
    public void pushedOver(double now, Nodo nodo, double byInformed) {
        each(f -> f.pushedOver(now, nodo, byInformed));
    }

    @Override
    public void crashed(double now, int sidecar, String how) {
        each(f -> f.crashed(now, sidecar, how));
    }
}
