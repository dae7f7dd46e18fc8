package poppynotch.lab.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.HdrHistogram.Histogram;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.sharing.HealthConsensus;
import poppynotch.fleet.sharing.Observation;
import poppynotch.fleet.sharing.ObservationStore;
import poppynotch.fleet.wire.ObservationPayload;

/**
 * A fleet of which each process calls servers, tells what it saw, and holds servers back: by its
 * own eyes alone, or by the common verdict too. The calls are a model of their own, with nothing of
 * Decide; the store, its ages and the verdict are the product's.
 */
public final class SharingTrial {

    /** A sighting older than this is not used. */
    public static final double BOUND_MS = 15_000;

    /** Calls are counted by windows of this length, and told at the end of each. */
    private static final double WINDOW_MS = 1000;

    /** A process goes by its own last windows, as many as the bound holds. */
    private static final int WINDOWS = 10;

    private static final double FAULT_AT_MS = 30_000;
    private static final double END_MS = 60_000;
    private static final int MOST_ENTRIES = 5000;
    private static final int CALLS = 4;

    /** Some try a held server again at any time: what nine in ten do is what the fleet does. */
    private static final double MOST = 0.9;

    /**
     * What a trial is like.
     *
     * @param processes how many
     * @param servers how many they all call
     * @param callsPerSecond by each process, spread evenly over the servers that it does not hold
     *     back
     * @param failing so many servers fail every call from half time on
     * @param liars so many processes tell of every server that it fails
     * @param shared whether the common verdict counts, or each process's own eyes alone
     */
    public record Setting(
            int processes,
            int servers,
            double callsPerSecond,
            int failing,
            int liars,
            boolean shared,
            double loss,
            long seed,
            List<Fault> faults) {}

    /**
     * How it went.
     *
     * @param wasted calls that went to a failing server
     * @param heldByMostMs from the first failure until nine in ten processes held all failing
     *     servers back, or below 0
     * @param heldInNeed how often a process held back a server that was well, counted by windows
     * @param ages true age of what was used, in milliseconds
     * @param younger sightings that were told younger than they were: the promise broken
     * @param past used past the bound: the promise broken
     */
    public record Outcome(
            long wasted,
            double heldByMostMs,
            long heldInNeed,
            Histogram ages,
            long younger,
            long past,
            double bytesPerSecond) {}

    private final Setting setting;
    private final SplittableRandom random;
    private final Map<String, Double> sawAt = new HashMap<>();
    private final Map<Integer, Process> processes = new HashMap<>();
    private final Histogram ages = new Histogram(3);
    private final VirtualFleet fleet;
    private final List<String> tier = new ArrayList<>();
    private long younger;
    private long past;

    /** One process's store and eyes. */
    private final class Process implements PiggybackPayload {
        final VirtualFleet.Node node;
        final ObservationStore store;
        final ObservationPayload rider;
        final Map<String, int[][]> own = new HashMap<>();
        Set<String> held = Set.of();
        long versions;

        Process(VirtualFleet.Node node) {
            this.node = node;
            store = new ObservationStore(node.name, node.processNumber, BOUND_MS, MOST_ENTRIES);
            rider = new ObservationPayload(store);
        }

        @Override
        public ByteBuffer nextPayload(double now, int bytes, int members) {
            return rider.nextPayload(now, bytes, members);
        }

        @Override
        public void onPayload(double now, ByteBuffer told, double transitMs) {
            rider.onPayload(now, told, transitMs);
        }

        void tell(double now, String server, int attempts, int failures) {
            store.recordLocal(now, server, attempts, 0, failures, 0);
            sawAt.put(node.name + " " + node.processNumber + " " + ++versions, fleet.elapsedMs());
        }
    }

    private SharingTrial(
            Setting setting, BiFunction<Process, PiggybackPayload, PiggybackPayload> wrap) {
        this.setting = setting;
        random = new SplittableRandom(setting.seed() * 31 + 7);
        for (int i = 0; i < setting.servers(); i++) {
            tier.add("s" + i);
        }
        fleet =
                new VirtualFleet(
                        new FleetPlan(
                                setting.processes(),
                                setting.seed(),
                                3000,
                                2,
                                setting.loss(),
                                setting.faults()),
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        node -> {
                            Process process = new Process(node);
                            processes.put(node.number, process);
                            return wrap.apply(process, process);
                        });
    }

    /** Plays one. */
    public static Outcome play(Setting setting) {
        return new SharingTrial(setting, (process, rider) -> rider).play();
    }

    /** Plays one in which answers tell all ages as none: a fault that the figures must show. */
    static Outcome playWithAgesForgotten(Setting setting) {
        return new SharingTrial(
                        setting,
                        (process, rider) ->
                                new PiggybackPayload() {
                                    @Override
                                    public ByteBuffer nextPayload(
                                            double now, int bytes, int members) {
                                        return rider.nextPayload(now, bytes, members);
                                    }

                                    @Override
                                    public void onPayload(
                                            double now, ByteBuffer told, double transitMs) {
                                        rider.onPayload(now, told, 0);
                                    }
                                })
                .play();
    }

    private boolean isFailing(String server) {
        return fleet.elapsedMs() >= FAULT_AT_MS
                && Integer.parseInt(server.substring(1)) < setting.failing();
    }

    private Outcome play() {
        long wasted = 0;
        long heldInNeed = 0;
        double heldByMost = -1;
        fleet.runUntil(FAULT_AT_MS - WINDOW_MS);
        long bytesBefore = fleet.bytesSent();
        double from = fleet.elapsedMs();
        while (fleet.elapsedMs() < END_MS) {
            fleet.runUntil(fleet.elapsedMs() + WINDOW_MS);
            int running = 0;
            int holding = 0;
            for (Process process : processes.values()) {
                if (process.node.isRunning() && !process.node.paused) {
                    wasted += window(process);
                    heldInNeed +=
                            process.held.stream().filter(server -> !isFailing(server)).count();
                    running++;
                    holding +=
                            tier.subList(0, setting.failing()).stream()
                                            .allMatch(process.held::contains)
                                    ? 1
                                    : 0;
                }
            }
            if (holding >= MOST * running && heldByMost < 0 && setting.failing() > 0) {
                heldByMost = fleet.elapsedMs() - FAULT_AT_MS;
            }
        }
        return new Outcome(
                wasted,
                heldByMost,
                heldInNeed,
                ages,
                younger,
                past,
                (fleet.bytesSent() - bytesBefore)
                        / (fleet.elapsedMs() - from)
                        * 1000
                        / setting.processes());
    }

    /** One window of one process: its calls, what it tells, what it holds back from then on. */
    private long window(Process process) {
        double now = process.node.localTimeMs();
        long wasted = 0;
        List<String> used = tier.stream().filter(server -> !process.held.contains(server)).toList();
        Map<String, int[]> calls = new HashMap<>();
        double expected = setting.callsPerSecond() * WINDOW_MS / 1000;
        int count = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
        for (int i = 0; i < count && !used.isEmpty(); i++) {
            String server = used.get(random.nextInt(used.size()));
            int[] ended = calls.computeIfAbsent(server, s -> new int[2]);
            ended[0]++;
            if (isFailing(server)) {
                ended[1]++;
                wasted++;
            }
        }
        boolean lies = process.node.number < setting.liars();
        Set<String> held = new HashSet<>();
        int window = (int) (fleet.elapsedMs() / WINDOW_MS) % WINDOWS;
        for (String server : tier) {
            int[][] last = process.own.computeIfAbsent(server, s -> new int[WINDOWS][]);
            last[window] = calls.get(server);
            int attempts = 0;
            int failures = 0;
            for (int[] one : last) {
                attempts += one == null ? 0 : one[0];
                failures += one == null ? 0 : one[1];
            }
            if (lies) {
                process.tell(now, server, 100, 100);
            } else if (calls.containsKey(server)) {
                process.tell(now, server, attempts, failures);
            }
            if (attempts >= CALLS && 2 * failures >= attempts) {
                held.add(server);
            }
        }
        if (setting.shared()) {
            for (String server : tier) {
                for (Observation one : process.store.observationsOf(now, server)) {
                    judge(process, one);
                }
            }
            held.addAll(
                    HealthConsensus.unhealthyServers(
                            now, process.store, tier, process.node.name, Set.of()));
        }
        process.held = held;
        return wasted;
    }

    /**
     * Holds the promised age against the true one; clocks that drift apart may account for a part
     * in 500.
     */
    private void judge(Process process, Observation one) {
        Double at = sawAt.get(one.origin() + " " + one.run() + " " + one.version());
        if (at == null) {
            return;
        }
        double age = fleet.elapsedMs() - at;
        if (!one.origin().equals(process.node.name)) {
            ages.recordValue(Math.max(0, Math.round(age)));
        }
        younger += age > one.ageMs() * 1.002 + 1 ? 1 : 0;
        past += age > BOUND_MS * 1.002 + 1 ? 1 : 0;
    }
}
