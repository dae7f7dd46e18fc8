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
 * Trial of shared observations on virtual time: each process calls servers, shares what it
 * observed, and ejects servers by its own observations alone or by the common health consensus too.
 * The calls are a model independent of the load balancer; the store, its ages and the consensus are
 * the product's.
 */
public final class ObservationSharingTrial {

    /** Observations older than this are not used. */
    public static final double BOUND_MS = 15_000;

    /** Calls are counted by windows of this length, and shared at the end of each. */
    private static final double WINDOW_MS = 1000;

    /** How many of its own last windows a process considers. */
    private static final int WINDOW_COUNT = 10;

    private static final double FAULT_AT_MS = 30_000;
    private static final double END_MS = 60_000;
    private static final int MAX_ENTRIES = 5000;
    private static final int MIN_ATTEMPTS = 4;

    /**
     * Some processes try an ejected server again at any time: what this fraction does counts as
     * what the fleet does.
     */
    private static final double MAJORITY_FRACTION = 0.9;

    /**
     * The settings of a trial.
     *
     * @param processes how many
     * @param servers how many they all call
     * @param callsPerSecond by each process, spread evenly over the servers that it has not ejected
     * @param failing so many servers fail every call from half time on
     * @param liars how many processes report every server as failing
     * @param shared whether the health consensus counts, or each process's own observations alone
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
     * The outcome of a trial.
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
    private final Map<String, Double> observedAtMs = new HashMap<>();
    private final Map<Integer, TrialProcess> processes = new HashMap<>();
    private final Histogram ages = new Histogram(3);
    private final VirtualFleet fleet;
    private final List<String> servers = new ArrayList<>();
    private long younger;
    private long past;

    /** A process with its observation store and its own call counts. */
    private final class TrialProcess implements PiggybackPayload {
        final VirtualFleet.Node node;
        final ObservationStore store;
        final ObservationPayload payload;
        final Map<String, int[][]> ownWindows = new HashMap<>();
        Set<String> ejectedServers = Set.of();
        long lastVersion;

        TrialProcess(VirtualFleet.Node node) {
            this.node = node;
            store = new ObservationStore(node.name, node.processNumber, BOUND_MS, MAX_ENTRIES);
            payload = new ObservationPayload(store);
        }

        @Override
        public ByteBuffer nextPayload(double now, int bytes, int members) {
            return payload.nextPayload(now, bytes, members);
        }

        @Override
        public void onPayload(double now, ByteBuffer told, double transitMs) {
            payload.onPayload(now, told, transitMs);
        }

        void recordObservation(double now, String server, int attempts, int failures) {
            store.recordLocal(now, server, attempts, 0, failures, 0);
            observedAtMs.put(
                    node.name + " " + node.processNumber + " " + ++lastVersion, fleet.elapsedMs());
        }
    }

    private ObservationSharingTrial(
            Setting setting, BiFunction<TrialProcess, PiggybackPayload, PiggybackPayload> wrap) {
        this.setting = setting;
        random = new SplittableRandom(setting.seed() * 31 + 7);
        for (int i = 0; i < setting.servers(); i++) {
            servers.add("s" + i);
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
                            TrialProcess process = new TrialProcess(node);
                            processes.put(node.number, process);
                            return wrap.apply(process, process);
                        });
    }

    /** Runs one trial on the calling thread. */
    public static Outcome play(Setting setting) {
        return new ObservationSharingTrial(setting, (process, rider) -> rider).play();
    }

    /** Seeds a defect that the figures must show: ages do not include the transit time. */
    static Outcome playWithoutTransitTime(Setting setting) {
        return new ObservationSharingTrial(
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
            for (TrialProcess process : processes.values()) {
                if (process.node.isRunning() && !process.node.paused) {
                    wasted += runWindow(process);
                    heldInNeed +=
                            process.ejectedServers.stream()
                                    .filter(server -> !isFailing(server))
                                    .count();
                    running++;
                    holding +=
                            servers.subList(0, setting.failing()).stream()
                                            .allMatch(process.ejectedServers::contains)
                                    ? 1
                                    : 0;
                }
            }
            if (holding >= MAJORITY_FRACTION * running && heldByMost < 0 && setting.failing() > 0) {
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

    /** Runs one window of a process: its calls, its observations and its new ejections. */
    private long runWindow(TrialProcess process) {
        double now = process.node.localTimeMs();
        long wasted = 0;
        List<String> used =
                servers.stream()
                        .filter(server -> !process.ejectedServers.contains(server))
                        .toList();
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
        int window = (int) (fleet.elapsedMs() / WINDOW_MS) % WINDOW_COUNT;
        for (String server : servers) {
            int[][] last = process.ownWindows.computeIfAbsent(server, s -> new int[WINDOW_COUNT][]);
            last[window] = calls.get(server);
            int attempts = 0;
            int failures = 0;
            for (int[] one : last) {
                attempts += one == null ? 0 : one[0];
                failures += one == null ? 0 : one[1];
            }
            if (lies) {
                process.recordObservation(now, server, 100, 100);
            } else if (calls.containsKey(server)) {
                process.recordObservation(now, server, attempts, failures);
            }
            if (attempts >= MIN_ATTEMPTS && 2 * failures >= attempts) {
                held.add(server);
            }
        }
        if (setting.shared()) {
            for (String server : servers) {
                for (Observation one : process.store.observationsOf(now, server)) {
                    checkAge(process, one);
                }
            }
            held.addAll(
                    HealthConsensus.unhealthyServers(
                            now, process.store, servers, process.node.name, Set.of()));
        }
        process.ejectedServers = held;
        return wasted;
    }

    /**
     * Compares the stated age of an observation with the true one; drift of clocks may account for
     * one part in 500.
     */
    private void checkAge(TrialProcess process, Observation one) {
        Double at = observedAtMs.get(one.origin() + " " + one.run() + " " + one.version());
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
