package poppynotch.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults of one simulation run. They are drawn so that at any time no more control-plane
 * replicas count as lost than the size tolerates. Faults of many replicas may exceed this, but no
 * other disk is lost while they last.
 *
 * @param seed the seed of the schedule and of all other random draws of the run
 * @param faults the faults to inject
 */
public record FaultSchedule(long seed, ClusterSize size, List<FaultInjection> faults) {

    /** A replica still counts as lost for this time after its fault has ended. */
    static final long CATCH_UP_MS = 4000;

    /** No disk is lost within this time after a fault of many replicas. */
    private static final long RECOVERY_MS = 12_000;

    /** A replica that shuts down gracefully leaves the acceptor set within this time. */
    private static final long SHUTDOWN_TIMEOUT_MS = 2500;

    /** A fault that waits for an acknowledgement is disarmed after this time. */
    static final long ARMED_TIMEOUT_MS = 2000;

    /** The last fault begins before this time. */
    static final long LAST_START_MS = 32_000;

    private static final long FIRST_START_MS = 3000;

    /** All replicas have started by then, so that disks may be lost after an acknowledgement. */
    private static final long FIRST_DISK_LOSS_MS = 400;

    /** Up to this time the acceptor set has yet to grow, or has just grown. */
    private static final long LAST_EARLY_START_MS = 1600;

    private static final int MIN_DRAWS = 2;

    /** Exclusive bound of the number of draws beyond {@link #MIN_DRAWS}. */
    private static final int EXTRA_DRAWS_BOUND = 14;

    /**
     * The kinds that {@link #draw(long)} draws from; later kinds have draw methods of their own.
     */
    private static final FaultInjection.Kind[] DRAWN_KINDS =
            Arrays.copyOf(FaultInjection.Kind.values(), FaultInjection.Kind.THROTTLE.ordinal() + 1);

    private static final FaultInjection.Kind[] LOSSES = {
        FaultInjection.Kind.WIPE, FaultInjection.Kind.WIPE, FaultInjection.Kind.REPLACE
    };

    /** Losses in turn use only this number of the first entries of {@link #DURATIONS_MS}. */
    private static final int MAX_LOSS_DURATIONS = 5;

    /** The next loss in turn begins within this time after the previous one has recovered. */
    private static final int MAX_PAUSE_MS = 600;

    /** The acceptor set has grown, and all servers are registered by then. */
    private static final long FIRST_DEPARTURE_MS = 6000;

    /** An edge has lost its polls' replies after this time. */
    private static final long MIN_EDGE_ABSENCE_MS = 700;

    /** Replicas that are killed at once return within this time. */
    private static final long MAX_DOWNTIME_MS = 1000;

    private static final long[] DURATIONS_MS = {200, 500, 900, 1500, 2500, 4000, 8000, 20_000};

    public FaultSchedule {
        faults = List.copyOf(faults);
    }

    /** Draws a schedule of the general kinds of faults, for the cluster size of the seed. */
    public static FaultSchedule draw(long seed) {
        return draw(seed, ClusterSize.of(seed), DRAWN_KINDS);
    }

    /**
     * Draws losses of disks and replacements of replicas under a continuous load of changes. Up to
     * the tolerated number are lost at once, and the next ones soon after those have recovered.
     */
    public static FaultSchedule drawLossesInTurn(long seed) {
        ClusterSize size = ClusterSize.of(seed);
        SplittableRandom random = new SplittableRandom(seed * 31 + 19);
        List<FaultInjection> faults = new ArrayList<>();
        faults.add(new FaultInjection(FIRST_START_MS, FaultInjection.Kind.FLOOD, 0, LAST_START_MS));
        long startMs = FIRST_START_MS + random.nextInt((int) CATCH_UP_MS);
        while (startMs < LAST_START_MS) {
            long recoveredMs = startMs;
            int first = random.nextInt(size.replicas());
            int count = 1 + random.nextInt(size.toleratedLosses());
            for (int i = 0; i < count; i++) {
                FaultInjection loss =
                        new FaultInjection(
                                startMs,
                                LOSSES[random.nextInt(LOSSES.length)],
                                (first + i) % size.replicas(),
                                DURATIONS_MS[random.nextInt(MAX_LOSS_DURATIONS)]);
                faults.add(loss);
                recoveredMs = Math.max(recoveredMs, recoveredMs(loss));
            }
            startMs = recoveredMs + random.nextInt(MAX_PAUSE_MS);
        }
        return new FaultSchedule(seed, size, faults);
    }

    /** Draws a schedule like {@link #draw(long)}, during which operators roll out versions. */
    public static FaultSchedule drawWithRollouts(long seed) {
        FaultSchedule drawn = draw(seed);
        List<FaultInjection> faults = new ArrayList<>(drawn.faults());
        faults.add(
                new FaultInjection(FIRST_START_MS, FaultInjection.Kind.ROLLOUTS, 0, LAST_START_MS));
        return new FaultSchedule(seed, drawn.size(), faults);
    }

    /**
     * Draws servers that drain or leave while an edge is frozen or cut off. At the acknowledgement
     * all replicas are killed, or lose power, and as many as are tolerated lose their disks. The
     * edge is back soon afterwards.
     */
    public static FaultSchedule drawDepartures(long seed) {
        ClusterSize size = ClusterSize.of(seed);
        SplittableRandom random = new SplittableRandom(seed * 31 + 23);
        List<FaultInjection> faults = new ArrayList<>();
        long startMs = FIRST_DEPARTURE_MS + random.nextInt(MAX_PAUSE_MS);
        while (startMs < LAST_START_MS) {
            FaultInjection.Kind edgeFault =
                    random.nextBoolean()
                            ? FaultInjection.Kind.EDGE_FREEZE
                            : FaultInjection.Kind.EDGE_CUT;
            FaultInjection.Kind loss =
                    random.nextInt(3) == 0
                            ? FaultInjection.Kind.SERVER_LEAVES_THEN_WIPE_AND_POWER_LOSS
                            : FaultInjection.Kind.SERVER_LEAVES_THEN_KILL_ALL;
            int target = random.nextInt(size.replicas());
            long lossMs = startMs + MIN_EDGE_ABSENCE_MS + random.nextInt(MAX_PAUSE_MS);
            long absenceMs = lossMs - startMs + 1 + random.nextInt(MAX_PAUSE_MS);
            faults.add(new FaultInjection(startMs, edgeFault, target, absenceMs));
            faults.add(new FaultInjection(lossMs, loss, target, MAX_DOWNTIME_MS));
            startMs = lossMs + RECOVERY_MS + random.nextInt(MAX_PAUSE_MS);
        }
        return new FaultSchedule(seed, size, faults);
    }

    /** Whether operators roll out new versions of the servers. */
    boolean hasRollouts() {
        return faults.stream().anyMatch(fault -> fault.kind() == FaultInjection.Kind.ROLLOUTS);
    }

    /** Draws a schedule of the given kinds of faults. */
    static FaultSchedule draw(long seed, ClusterSize size, FaultInjection.Kind... kinds) {
        SplittableRandom random = new SplittableRandom(seed * 31 + 17);
        List<FaultInjection> accepted = new ArrayList<>();
        int draws = MIN_DRAWS + random.nextInt(EXTRA_DRAWS_BOUND);
        for (int i = 0; i < draws; i++) {
            FaultInjection candidate = drawFault(random, size, kinds);
            if (isCompatible(accepted, candidate, size)) {
                accepted.add(candidate);
            }
        }
        accepted.sort(Comparator.comparingLong(FaultInjection::startMs));
        return new FaultSchedule(seed, size, accepted);
    }

    private static FaultInjection drawFault(
            SplittableRandom random, ClusterSize size, FaultInjection.Kind[] kinds) {
        FaultInjection.Kind kind = kinds[random.nextInt(kinds.length)];
        long startMs = drawStartMs(random, kind);
        int target = random.nextInt(size.replicas());
        long durationMs = DURATIONS_MS[random.nextInt(DURATIONS_MS.length)];
        return new FaultInjection(startMs, kind, target, durationMs);
    }

    /** Half of the faults that lose disks of many replicas start while the acceptor set grows. */
    private static long drawStartMs(SplittableRandom random, FaultInjection.Kind kind) {
        boolean early = kind.losesDisksOfMany() && random.nextBoolean();
        long firstMs = early ? FIRST_DISK_LOSS_MS : FIRST_START_MS;
        long lastMs = early ? LAST_EARLY_START_MS : LAST_START_MS;
        return firstMs + random.nextInt((int) (lastMs - firstMs));
    }

    /** Whether {@code candidate} may be added to the faults accepted so far. */
    private static boolean isCompatible(
            List<FaultInjection> accepted, FaultInjection candidate, ClusterSize size) {
        boolean conflicts =
                accepted.stream()
                        .filter(other -> mustNotOverlap(other.kind(), candidate.kind()))
                        .anyMatch(other -> overlap(other, candidate));
        if (conflicts || !candidate.kind().affectsOneReplica()) {
            return !conflicts;
        }
        List<FaultInjection> lostReplicas =
                accepted.stream()
                        .filter(other -> other.kind().affectsOneReplica())
                        .filter(other -> overlap(other, candidate))
                        .toList();
        boolean sameReplica =
                lostReplicas.stream().anyMatch(other -> other.target() == candidate.target());
        return !sameReplica && lostReplicas.size() < size.toleratedLosses();
    }

    /** While many replicas fail no disk may be lost, except those lost by that fault itself. */
    private static boolean mustNotOverlap(FaultInjection.Kind one, FaultInjection.Kind other) {
        boolean anyLosesDisksOfMany = one.losesDisksOfMany() || other.losesDisksOfMany();
        boolean bothAffectReplicas = affectsReplicas(one) && affectsReplicas(other);
        boolean diskLostWhileManyFail =
                (one.losesDisk() && other.affectsManyReplicas())
                        || (one.affectsManyReplicas() && other.losesDisk());
        return (anyLosesDisksOfMany && bothAffectReplicas) || diskLostWhileManyFail;
    }

    private static boolean affectsReplicas(FaultInjection.Kind kind) {
        return kind.affectsOneReplica() || kind.affectsManyReplicas();
    }

    private static boolean overlap(FaultInjection one, FaultInjection other) {
        return one.startMs() < recoveredMs(other) && other.startMs() < recoveredMs(one);
    }

    /** When the replicas of a fault no longer count as lost. */
    private static long recoveredMs(FaultInjection fault) {
        long maxDurationMs =
                switch (fault.kind()) {
                    case TERMINATE, REPLACE_PLANNED -> fault.durationMs() + SHUTDOWN_TIMEOUT_MS;
                    case SERVER_ENDS_THEN_KILL,
                                    ORDER_THEN_KILL,
                                    ORDER_THEN_WIPE_AND_POWER_LOSS,
                                    SERVER_LEAVES_THEN_KILL_ALL,
                                    SERVER_LEAVES_THEN_WIPE_AND_POWER_LOSS ->
                            fault.durationMs() + ARMED_TIMEOUT_MS;
                    default -> fault.durationMs();
                };
        long catchUpMs = fault.kind().affectsManyReplicas() ? RECOVERY_MS : CATCH_UP_MS;
        return fault.startMs() + maxDurationMs + catchUpMs;
    }

    /** Returns the same schedule without one of the faults. */
    FaultSchedule without(int index) {
        List<FaultInjection> fewer = new ArrayList<>(faults);
        fewer.remove(index);
        return new FaultSchedule(seed, size, fewer);
    }
}
