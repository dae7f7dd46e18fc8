package poppynotch.lab.world;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import poppynotch.lab.experiment.FaultInjection;

/** Brings about an experiment's troubles, and ends them. */
final class FaultDirector {

    private final SimulatedDay scene;
    private final SplittableRandom random;

    FaultDirector(SimulatedDay scene, SplittableRandom random) {
        this.scene = scene;
        this.random = random;
    }

    void begin() {
        for (FaultInjection trouble : scene.experiment().troubles()) {
            SplittableRandom own = random.split();
            scene.time().after(trouble.atMs(), () -> strike(trouble, own));
        }
    }

    private void strike(FaultInjection trouble, SplittableRandom own) {
        switch (trouble.kind()) {
            case CRASH -> lose(struck(trouble, own), trouble.forMs());
            case ZONE_LOST -> lose(nodos(trouble, nodo -> true), trouble.forMs());
            case ERRORS ->
                    each(
                            struck(trouble, own),
                            trouble,
                            nodo -> nodo.errorShare = trouble.share(),
                            nodo -> nodo.errorShare = 0);
            case HANG ->
                    each(
                            struck(trouble, own),
                            trouble,
                            nodo -> nodo.changed(() -> nodo.hangs = true),
                            nodo -> nodo.changed(() -> nodo.hangs = false));
            case SLOW ->
                    each(
                            struck(trouble, own),
                            trouble,
                            nodo -> nodo.changed(() -> nodo.slowness *= trouble.factor()),
                            nodo -> nodo.changed(() -> nodo.slowness /= trouble.factor()));
            case RESETS ->
                    each(
                            struck(trouble, own),
                            trouble,
                            nodo -> nodo.resetShare = trouble.share(),
                            nodo -> nodo.resetShare = 0);
            case GARBLED ->
                    each(
                            struck(trouble, own),
                            trouble,
                            nodo -> nodo.garbledShare = trouble.share(),
                            nodo -> nodo.garbledShare = 0);
            case REPORTS_LATE ->
                    each(
                            nodos(trouble, nodo -> true),
                            trouble,
                            nodo -> nodo.reportsLateMs = trouble.delayMs(),
                            nodo -> nodo.reportsLateMs = 0);
            case ZONE_CUT -> {
                scene.cut(scene.experiment().world().zones().indexOf(trouble.zone()));
                scene.time().after(trouble.forMs(), () -> scene.cut(-1));
            }
            case RELEASE -> release(struck(trouble, own), trouble.forMs());
            case SIDECARS_KILLED -> {
                for (int place : places(trouble, own)) {
                    scene.killFront(place, trouble.forMs());
                }
            }
            case SIDECARS_RESTARTED -> {
                List<Integer> places = places(trouble, own);
                for (int i = 0; i < places.size(); i++) {
                    int place = places.get(i);
                    scene.time()
                            .after(
                                    trouble.forMs() * i / places.size(),
                                    () -> scene.restartFront(place));
                }
            }
            case LISTS_LATE ->
                    discoveries(trouble, d -> d.setLate(trouble.delayMs()), d -> d.setLate(0));
            case DISCOVERY_DOWN ->
                    discoveries(trouble, d -> d.setDown(true), d -> d.setDown(false));
            case DISCOVERY_SLOW ->
                    discoveries(
                            trouble, d -> d.setSlowness(trouble.factor()), d -> d.setSlowness(1));
            case IMPATIENCE -> {
                scene.clients().setImpatience(trouble.delayMs(), trouble.part());
                scene.time().after(trouble.forMs(), () -> scene.clients().setImpatience(0, 0));
            }
            case BURST -> {
                // The clients' rate knows of it from the start.
            }
            default -> throw new IllegalStateException("no such trouble: " + trouble.kind());
        }
    }

    private void lose(List<ModelServer> nodos, double forMs) {
        nodos.forEach(scene::crash);
        scene.time().after(forMs, () -> nodos.forEach(scene::comeBack));
    }

    private void each(
            List<ModelServer> nodos,
            FaultInjection trouble,
            Consumer<ModelServer> begin,
            Consumer<ModelServer> end) {
        nodos.forEach(begin);
        scene.time().after(trouble.forMs(), () -> nodos.forEach(end));
    }

    private void release(List<ModelServer> nodos, double overMs) {
        for (int i = 0; i < nodos.size(); i++) {
            ModelServer nodo = nodos.get(i);
            scene.time().after(overMs * i / nodos.size(), () -> scene.replace(nodo));
        }
    }

    private void discoveries(
            FaultInjection trouble, Consumer<Discovery> begin, Consumer<Discovery> end) {
        for (int tier = 0; tier < scene.tiers(); tier++) {
            if (trouble.tier().isEmpty()
                    || scene.experiment().world().tier(trouble.tier()) == tier) {
                Discovery discovery = scene.discovery(tier);
                begin.accept(discovery);
                scene.time().after(trouble.forMs(), () -> end.accept(discovery));
            }
        }
    }

    private List<ModelServer> nodos(FaultInjection trouble, Predicate<ModelServer> which) {
        List<ModelServer> all = new ArrayList<>();
        for (int tier = 0; tier < scene.tiers(); tier++) {
            if (!trouble.tier().isEmpty()
                    && scene.experiment().world().tier(trouble.tier()) != tier) {
                continue;
            }
            for (ModelServer nodo : scene.nodos(tier)) {
                boolean inZone =
                        trouble.zone().isEmpty()
                                || nodo.zone
                                        == scene.experiment()
                                                .world()
                                                .zones()
                                                .indexOf(trouble.zone());
                if (nodo.isRunning() && !nodo.isDraining() && inZone && which.test(nodo)) {
                    all.add(nodo);
                }
            }
        }
        return all;
    }

    /** The part of the nodos that it strikes: one at least, unless the part is none. */
    private List<ModelServer> struck(FaultInjection trouble, SplittableRandom own) {
        List<ModelServer> all = nodos(trouble, nodo -> true);
        Collections.shuffle(all, new Random(own.nextLong()));
        return all.subList(0, (int) Math.min(all.size(), Math.ceil(all.size() * trouble.part())));
    }

    private List<Integer> places(FaultInjection trouble, SplittableRandom own) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < scene.experiment().world().sidecars(); i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(own.nextLong()));
        return all.subList(0, (int) Math.ceil(all.size() * trouble.part()));
    }
}
