package poppynotch.simulation;

import java.util.List;
import java.util.SplittableRandom;
import poppynotch.control.ControlPlaneNode;

/** Carries a schedule's disruptions out. */
final class FaultInjector {

    /** What stands for operators and servers on the network. */
    static final String OUTSIDE = "outside";

    private static final long LEAVE_LIMIT_MS = 2500;
    private static final long LOOK_MS = 50;
    private static final long RESTART_MS = 300;
    private static final long DARK_MS = 3000;
    private static final int SEEDS = 3;

    private final SimulatedFleet world;
    private final SplittableRandom random;

    /** Targets by number; a machine that was replaced gives its number to its successor. */
    private final String[] machines;

    FaultInjector(SimulatedFleet world, long seed) {
        this.world = world;
        random = new SplittableRandom(seed + 1);
        machines = world.cores().stream().map(VirtualControlPlane::name).toArray(String[]::new);
    }

    /** Schedules all of them. */
    void begin(List<FaultInjection> disruptions) {
        disruptions.forEach(
                disruption -> world.time().at(disruption.atMs(), () -> carryOut(disruption)));
    }

    private void carryOut(FaultInjection disruption) {
        world.checker().disrupted();
        if (disruption.kind().losesMachine()) {
            world.core(machines[disruption.target()]).ifPresent(core -> onCore(disruption, core));
        } else {
            onOthers(disruption);
        }
    }

    private void endsAfter(long ms, Runnable end) {
        world.time()
                .after(
                        ms,
                        () -> {
                            world.checker().disrupted();
                            end.run();
                        });
    }

    private void onCore(FaultInjection disruption, VirtualControlPlane core) {
        long forMs = disruption.forMs();
        switch (disruption.kind()) {
            case CUT_CORE -> cut(core, false, true, true, forMs);
            case CUT_ALL -> cut(core, true, true, true, forMs);
            case CUT_OUT -> cut(core, false, true, false, forMs);
            case CUT_IN -> cut(core, false, false, true, forMs);
            case FREEZE -> {
                core.freeze();
                endsAfter(forMs, core::thaw);
            }
            case KILL -> restart(core, forMs);
            case WIPE -> {
                core.kill();
                core.disk().wipe();
                endsAfter(forMs, core::start);
            }
            case DISK_SLOW -> disk(core, VirtualDisk.Condition.SLOW, forMs);
            case DISK_STALL -> disk(core, VirtualDisk.Condition.STALLED, forMs);
            case DISK_FULL -> disk(core, VirtualDisk.Condition.FULL, forMs);
            case REPLACE -> {
                world.removeCore(core.name());
                endsAfter(forMs, () -> successor(disruption.target()));
            }
            case REPLACE_PLANNED -> {
                successor(disruption.target());
                endsAfter(forMs, () -> leave(core, () -> world.removeCore(core.name())));
            }
            case SERVER_ENDS_THEN_KILL -> {
                arm(forMs, VirtualServer.class);
                server(disruption.target()).end();
            }
            case ORDER_THEN_KILL -> arm(forMs, VirtualOperator.class);
            case TERMINATE -> leave(core, () -> restart(core, RESTART_MS));
            default -> throw new IllegalStateException(disruption.toString());
        }
    }

    private void restart(VirtualControlPlane core, long downMs) {
        core.kill();
        endsAfter(downMs, core::start);
    }

    /** Whoever acknowledges the next call of somebody is killed at once. */
    private void arm(long downMs, Class<?> caller) {
        world.strikeAtNextAcknowledgement(
                caller,
                core -> {
                    world.checker().disrupted();
                    restart(core, downMs);
                });
        world.time()
                .after(
                        FaultSchedule.ARMED_MS,
                        () -> world.strikeAtNextAcknowledgement(caller, core -> {}));
    }

    private void disk(VirtualControlPlane core, VirtualDisk.Condition condition, long forMs) {
        core.disk().become(condition);
        endsAfter(forMs, () -> core.disk().become(VirtualDisk.Condition.GOOD));
    }

    private void successor(int target) {
        machines[target] = world.addCore(seeds(), false).name();
    }

    private List<String> seeds() {
        return world.cores().stream().map(VirtualControlPlane::name).limit(SEEDS).toList();
    }

    /** A process is told to end, and does so as the real one does. */
    private void leave(VirtualControlPlane core, Runnable end) {
        if (!core.isUp()) {
            end.run();
            return;
        }
        core.run(core.core()::leave);
        long untilMs = world.time().getAsLong() + LEAVE_LIMIT_MS;
        world.time().after(ControlPlaneNode.BEAT_MS + LOOK_MS, () -> watchEnd(core, untilMs, end));
    }

    private void watchEnd(VirtualControlPlane core, long untilMs, Runnable end) {
        if (!core.isUp() || core.core().mayEnd() || world.time().getAsLong() >= untilMs) {
            world.checker().disrupted();
            end.run();
        } else {
            world.time().after(LOOK_MS, () -> watchEnd(core, untilMs, end));
        }
    }

    private void cut(VirtualControlPlane core, boolean all, boolean out, boolean in, long forMs) {
        List<String> others =
                java.util.stream.Stream.concat(
                                world.cores().stream()
                                        .filter(other -> other != core)
                                        .map(VirtualControlPlane::name),
                                all ? outsiders() : java.util.stream.Stream.empty())
                        .toList();
        others.forEach(other -> block(core.name(), other, out, in));
        endsAfter(forMs, () -> others.forEach(other -> unblock(core.name(), other, out, in)));
    }

    private java.util.stream.Stream<String> outsiders() {
        return java.util.stream.Stream.concat(
                java.util.stream.Stream.of(OUTSIDE), world.edges().stream().map(VirtualEdge::name));
    }

    private void block(String one, String other, boolean out, boolean in) {
        if (out) {
            world.network().block(one, other);
        }
        if (in) {
            world.network().block(other, one);
        }
    }

    private void unblock(String one, String other, boolean out, boolean in) {
        if (out) {
            world.network().unblock(one, other);
        }
        if (in) {
            world.network().unblock(other, one);
        }
    }

    private void onOthers(FaultInjection disruption) {
        VirtualEdge edge = world.edges().get(disruption.target() % world.edges().size());
        switch (disruption.kind()) {
            case SPLIT -> split(disruption.forMs());
            case KILL_ALL ->
                    world.cores()
                            .forEach(
                                    core ->
                                            restart(
                                                    core,
                                                    RESTART_MS + random.nextInt((int) RESTART_MS)));
            case BEHIND -> behind(disruption);
            case EDGE_KILL -> {
                edge.kill();
                edge.seeds(seeds());
                endsAfter(disruption.forMs(), edge::start);
            }
            case EDGE_CUT -> cutEdge(edge, disruption.forMs());
            case DRAIN -> server(disruption.target()).drain();
            case SERVER_ENDS -> server(disruption.target()).end();
            case STORM -> world.operator().storm(disruption.forMs());
            default -> throw new IllegalStateException(disruption.toString());
        }
    }

    /** A server that has not left yet; another one takes its place. */
    private VirtualServer server(int target) {
        List<VirtualServer> ready =
                world.servers().stream().filter(server -> server.isReady()).toList();
        world.addServer();
        return ready.get(target % ready.size());
    }

    private void cutEdge(VirtualEdge edge, long forMs) {
        List<String> cores = world.cores().stream().map(VirtualControlPlane::name).toList();
        cores.forEach(core -> block(edge.name(), core, true, true));
        endsAfter(forMs, () -> cores.forEach(core -> unblock(edge.name(), core, true, true)));
    }

    /** Those that come back first are one that has missed changes and one that knows nothing. */
    private void behind(FaultInjection disruption) {
        List<VirtualControlPlane> cores =
                world.cores().stream().filter(VirtualControlPlane::isUp).toList();
        if (cores.size() < 2) {
            return;
        }
        VirtualControlPlane missing = cores.get(disruption.target() % cores.size());
        VirtualControlPlane wiped = cores.get((disruption.target() + 1) % cores.size());
        cut(missing, false, true, true, disruption.forMs());
        world.time()
                .after(
                        Math.max(0, disruption.forMs() - RESTART_MS),
                        () -> {
                            cores.stream()
                                    .filter(core -> core != missing && core != wiped)
                                    .forEach(core -> restart(core, DARK_MS));
                            wiped.kill();
                            wiped.disk().wipe();
                            endsAfter(2 * RESTART_MS, wiped::start);
                        });
    }

    private void split(long forMs) {
        List<VirtualControlPlane> cores = world.cores();
        List<String> half =
                cores.stream()
                        .map(VirtualControlPlane::name)
                        .filter(name -> Math.floorMod(name.hashCode(), 2) == 0)
                        .toList();
        List<String> rest =
                cores.stream()
                        .map(VirtualControlPlane::name)
                        .filter(name -> !half.contains(name))
                        .toList();
        half.forEach(one -> rest.forEach(other -> block(one, other, true, true)));
        endsAfter(
                forMs,
                () -> half.forEach(one -> rest.forEach(other -> unblock(one, other, true, true))));
    }
}
