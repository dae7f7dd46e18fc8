package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A fleet and the faults that are injected into it; the same plan runs the same to the last byte.
 * Stored as YAML by the names of its components.
 *
 * @param members number of members
 * @param seed of the random generator of a run
 * @param startOver the members start within this time, in milliseconds
 * @param seeds how many of the first members are the seeds of all
 * @param loss fraction of datagrams that are lost all the time
 * @param faults the faults, in any order
 */
public record FleetPlan(
        int members, long seed, double startOver, int seeds, double loss, List<Fault> faults) {

    /** Faults of a random plan begin this long after the start, within the spread below. */
    private static final double FIRST_FAULT_MS = 15_000;

    private static final double FAULT_START_SPREAD_MS = 45_000;
    private static final int MAX_FAULTS = 6;
    private static final double MAX_FAULT_DURATION_MS = 25_000;

    /** A random plan: a small fleet and up to six faults that may overlap. */
    public static FleetPlan random(long seed) {
        Random random = new Random(seed);
        return random(seed, 5 + random.nextInt(12), random);
    }

    /** The same for a fleet of a given size. */
    public static FleetPlan random(long seed, int members) {
        return random(seed, members, new Random(seed));
    }

    private static FleetPlan random(long seed, int members, Random random) {
        List<Fault> faults = new ArrayList<>();
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            Fault.Kind kind = Fault.Kind.values()[random.nextInt(Fault.Kind.values().length)];
            List<Integer> all = new ArrayList<>();
            for (int m = 0; m < members; m++) {
                all.add(m);
            }
            Collections.shuffle(all, random);
            int struck = kind == Fault.Kind.ONE_WAY ? 2 : 1 + random.nextInt(members / 2);
            double value =
                    switch (kind) {
                        case LOSS -> 0.05 + random.nextDouble() * 0.3;
                        case DUPLICATION -> random.nextDouble() * 0.5;
                        case DELAY -> random.nextDouble() * 150;
                        default -> 0;
                    };
            double lasts = 200 + random.nextDouble() * MAX_FAULT_DURATION_MS;
            boolean forGood =
                    kind == Fault.Kind.LEAVE || (kind == Fault.Kind.KILL && random.nextBoolean());
            faults.add(
                    new Fault(
                            FIRST_FAULT_MS + random.nextDouble() * FAULT_START_SPREAD_MS,
                            kind,
                            List.copyOf(all.subList(0, struck)),
                            forGood ? 0 : lasts,
                            value));
        }
        return new FleetPlan(members, seed, 3000, 2, random.nextInt(3) * 0.02, List.copyOf(faults));
    }

    FleetPlan with(List<Fault> others) {
        return new FleetPlan(members, seed, startOver, seeds, loss, List.copyOf(others));
    }

    /** When the last fault ends, in milliseconds from the start. */
    double lastFaultMs() {
        return faults.stream().mapToDouble(Fault::endsAt).max().orElse(startOver);
    }
}
