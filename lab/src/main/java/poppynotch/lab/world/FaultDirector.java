package poppynotch.lab.world;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import poppynotch.lab.experiment.FaultInjection;

/**
 * Injects an experiment's faults at their times, and ends them. Owned by {@link SimulatedDay}; runs
 * on the day's thread.
 */
final class FaultDirector {

    private final SimulatedDay day;
    private final SplittableRandom random;

    FaultDirector(SimulatedDay day, SplittableRandom random) {
        this.day = day;
        this.random = random;
    }

    void start() {
        for (FaultInjection fault : day.experiment().faults()) {
            SplittableRandom faultRandom = random.split();
            day.time().schedule(fault.atMs(), () -> inject(fault, faultRandom));
        }
    }

    private void inject(FaultInjection fault, SplittableRandom faultRandom) {
        switch (fault.kind()) {
            case CRASH -> crashAndRestart(affectedServers(fault, faultRandom), fault.durationMs());
            case ZONE_LOST ->
                    crashAndRestart(
                            matchingServers(fault, modelServer -> true), fault.durationMs());
            case ERRORS ->
                    applyTemporarily(
                            affectedServers(fault, faultRandom),
                            fault,
                            modelServer -> modelServer.errorFraction = fault.failureFraction(),
                            modelServer -> modelServer.errorFraction = 0);
            case HANG ->
                    applyTemporarily(
                            affectedServers(fault, faultRandom),
                            fault,
                            modelServer -> modelServer.applyChange(() -> modelServer.hangs = true),
                            modelServer ->
                                    modelServer.applyChange(() -> modelServer.hangs = false));
            case SLOW ->
                    applyTemporarily(
                            affectedServers(fault, faultRandom),
                            fault,
                            modelServer ->
                                    modelServer.applyChange(
                                            () -> modelServer.slowdownFactor *= fault.factor()),
                            modelServer ->
                                    modelServer.applyChange(
                                            () -> modelServer.slowdownFactor /= fault.factor()));
            case RESETS ->
                    applyTemporarily(
                            affectedServers(fault, faultRandom),
                            fault,
                            modelServer -> modelServer.resetFraction = fault.failureFraction(),
                            modelServer -> modelServer.resetFraction = 0);
            case GARBLED ->
                    applyTemporarily(
                            affectedServers(fault, faultRandom),
                            fault,
                            modelServer -> modelServer.garbledFraction = fault.failureFraction(),
                            modelServer -> modelServer.garbledFraction = 0);
            case REPORTS_LATE ->
                    applyTemporarily(
                            matchingServers(fault, modelServer -> true),
                            fault,
                            modelServer -> modelServer.reportDelayMs = fault.delayMs(),
                            modelServer -> modelServer.reportDelayMs = 0);
            case ZONE_CUT -> {
                day.partitionZone(day.experiment().world().zones().indexOf(fault.zone()));
                day.time().schedule(fault.durationMs(), () -> day.partitionZone(-1));
            }
            case RELEASE ->
                    replaceGradually(affectedServers(fault, faultRandom), fault.durationMs());
            case SIDECARS_KILLED -> {
                for (int position : affectedFrontSidecars(fault, faultRandom)) {
                    day.killFrontSidecar(position, fault.durationMs());
                }
            }
            case SIDECARS_RESTARTED -> {
                List<Integer> positions = affectedFrontSidecars(fault, faultRandom);
                for (int i = 0; i < positions.size(); i++) {
                    int position = positions.get(i);
                    day.time()
                            .schedule(
                                    fault.durationMs() * i / positions.size(),
                                    () -> day.restartFrontSidecar(position));
                }
            }
            case LISTS_LATE ->
                    affectDiscovery(
                            fault,
                            d -> d.setExtraDelayMs(fault.delayMs()),
                            d -> d.setExtraDelayMs(0));
            case DISCOVERY_DOWN ->
                    affectDiscovery(fault, d -> d.setDown(true), d -> d.setDown(false));
            case DISCOVERY_SLOW ->
                    affectDiscovery(
                            fault,
                            d -> d.setSlowdownFactor(fault.factor()),
                            d -> d.setSlowdownFactor(1));
            case IMPATIENCE -> {
                day.clients().setImpatience(fault.delayMs(), fault.affectedFraction());
                day.time().schedule(fault.durationMs(), () -> day.clients().setImpatience(0, 0));
            }
            case BURST -> {
                // The clients' arrival rate includes bursts from the start.
            }
            default -> throw new IllegalStateException("no such trouble: " + fault.kind());
        }
    }

    private void crashAndRestart(List<ModelServer> modelServers, double downMs) {
        modelServers.forEach(day::crash);
        day.time().schedule(downMs, () -> modelServers.forEach(day::restart));
    }

    private void applyTemporarily(
            List<ModelServer> modelServers,
            FaultInjection fault,
            Consumer<ModelServer> begin,
            Consumer<ModelServer> end) {
        modelServers.forEach(begin);
        day.time().schedule(fault.durationMs(), () -> modelServers.forEach(end));
    }

    private void replaceGradually(List<ModelServer> modelServers, double overMs) {
        for (int i = 0; i < modelServers.size(); i++) {
            ModelServer modelServer = modelServers.get(i);
            day.time().schedule(overMs * i / modelServers.size(), () -> day.replace(modelServer));
        }
    }

    private void affectDiscovery(
            FaultInjection fault, Consumer<Discovery> begin, Consumer<Discovery> end) {
        for (int tier = 0; tier < day.tiers(); tier++) {
            if (fault.tier().isEmpty() || day.experiment().world().tier(fault.tier()) == tier) {
                Discovery discovery = day.discovery(tier);
                begin.accept(discovery);
                day.time().schedule(fault.durationMs(), () -> end.accept(discovery));
            }
        }
    }

    private List<ModelServer> matchingServers(FaultInjection fault, Predicate<ModelServer> which) {
        List<ModelServer> all = new ArrayList<>();
        for (int tier = 0; tier < day.tiers(); tier++) {
            if (!fault.tier().isEmpty() && day.experiment().world().tier(fault.tier()) != tier) {
                continue;
            }
            for (ModelServer modelServer : day.modelServers(tier)) {
                boolean inZone =
                        fault.zone().isEmpty()
                                || modelServer.zone
                                        == day.experiment().world().zones().indexOf(fault.zone());
                if (modelServer.isRunning()
                        && !modelServer.isDraining()
                        && inZone
                        && which.test(modelServer)) {
                    all.add(modelServer);
                }
            }
        }
        return all;
    }

    /** The randomly chosen servers that a fault affects: at least one, unless the fraction is 0. */
    private List<ModelServer> affectedServers(FaultInjection fault, SplittableRandom faultRandom) {
        List<ModelServer> all = matchingServers(fault, modelServer -> true);
        Collections.shuffle(all, new Random(faultRandom.nextLong()));
        return all.subList(
                0, (int) Math.min(all.size(), Math.ceil(all.size() * fault.affectedFraction())));
    }

    private List<Integer> affectedFrontSidecars(
            FaultInjection fault, SplittableRandom faultRandom) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < day.experiment().world().sidecars(); i++) {
            all.add(i);
        }
        Collections.shuffle(all, new Random(faultRandom.nextLong()));
        return all.subList(0, (int) Math.ceil(all.size() * fault.affectedFraction()));
    }
}
