package poppynotch.simulation;

import java.util.Optional;

/** One schedule, played to its end. */
public final class SimulationRun {

    /** After the last disruption has ended, so much time until all must have come to rest. */
    private static final long REST_MS = 14_000;

    private static final long LONGEST_MS = FaultSchedule.END_MS + 23_000;
    private static final int LAST_ORDER_TRIES = 20;

    private SimulationRun() {}

    /** What the checker found first, if it found anything. */
    public static Optional<String> run(FaultSchedule schedule, SeededDefect fault) {
        return run(schedule, fault, QuotaTraffic.none());
    }

    static Optional<String> run(FaultSchedule schedule, SeededDefect fault, QuotaTraffic traffic) {
        SimulatedFleet world = new SimulatedFleet(schedule.seed(), schedule.size(), fault, traffic);
        world.begin();
        new FaultInjector(world, schedule.seed()).begin(schedule.disruptions());
        long lastMs =
                schedule.disruptions().stream()
                        .mapToLong(disruption -> disruption.atMs() + disruption.forMs())
                        .max()
                        .orElse(0);
        long quietMs = Math.min(LONGEST_MS, Math.max(lastMs, FaultSchedule.CATCH_UP_MS));
        try {
            world.time().runUntil(quietMs);
            world.operator().stop();
            world.time().runUntil(quietMs + REST_MS);
            boolean[] taken = new boolean[1];
            world.operator().insist(LAST_ORDER_TRIES, done -> taken[0] = done);
            world.time().runUntil(quietMs + REST_MS + FaultSchedule.CATCH_UP_MS);
            if (!taken[0] && world.checker().finding().isEmpty()) {
                return Optional.of("at the end no order is taken any more");
            }
            if (world.checker().finding().isEmpty()) {
                world.checker().atRest();
            }
        } catch (RuntimeException e) {
            return Optional.of("stopped by " + e);
        }
        return world.checker().finding();
    }

    /** The schedule with all disruptions left out that the finding does not need. */
    public static FaultSchedule shorten(FaultSchedule schedule, SeededDefect fault) {
        FaultSchedule shortest = schedule;
        for (int i = shortest.disruptions().size() - 1; i >= 0; i--) {
            FaultSchedule fewer = shortest.without(i);
            if (run(fewer, fault).isPresent()) {
                shortest = fewer;
            }
        }
        return shortest;
    }
}
