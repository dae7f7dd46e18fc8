package poppynotch.simulation;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs one {@link FaultSchedule} on a {@link SimulatedFleet}, then lets the fleet recover and
 * checks its final state. A run is deterministic: the same schedule and defect give the same
 * finding. This class is stateless, and several threads may execute runs concurrently.
 */
public final class SimulationRun {

    /** The time that the fleet has to recover after the last fault has ended. */
    private static final long SETTLE_MS = 14_000;

    /** The recovery begins no later than this, even if some faults have not ended. */
    private static final long MAX_RECOVERY_START_MS = FaultSchedule.LAST_START_MS + 23_000;

    private static final int FINAL_CHANGE_RETRIES = 20;

    private SimulationRun() {}

    /**
     * Runs a schedule.
     *
     * @return the first violation that was found; empty if there was none
     */
    public static Optional<String> run(FaultSchedule schedule, SeededDefect defect) {
        return run(schedule, defect, QuotaTraffic.none());
    }

    static Optional<String> run(FaultSchedule schedule, SeededDefect defect, QuotaTraffic traffic) {
        SimulatedFleet fleet =
                new SimulatedFleet(schedule.seed(), schedule.size(), defect, traffic);
        fleet.start();
        if (schedule.hasRollouts()) {
            fleet.servers().forEach(server -> server.setVersion(VirtualRollouts.FIRST_VERSION));
        }
        new FaultInjector(fleet, schedule.seed()).start(schedule.faults());
        try {
            return runUntilRecovered(fleet, recoveryStartMs(schedule));
        } catch (RuntimeException e) {
            return Optional.of("stopped by " + e);
        }
    }

    /** When the recovery begins: once the last fault has ended. */
    private static long recoveryStartMs(FaultSchedule schedule) {
        long lastEndMs =
                schedule.faults().stream()
                        .mapToLong(fault -> fault.startMs() + fault.durationMs())
                        .max()
                        .orElse(0);
        return Math.min(MAX_RECOVERY_START_MS, Math.max(lastEndMs, FaultSchedule.CATCH_UP_MS));
    }

    private static Optional<String> runUntilRecovered(SimulatedFleet fleet, long recoveryStartMs) {
        fleet.time().runUntil(recoveryStartMs);
        fleet.operator().stop();
        fleet.time().runUntil(recoveryStartMs + SETTLE_MS);
        AtomicBoolean finalChangeAcknowledged = new AtomicBoolean();
        fleet.operator()
                .submitUntilAcknowledged(FINAL_CHANGE_RETRIES, finalChangeAcknowledged::set);
        fleet.time().runUntil(recoveryStartMs + SETTLE_MS + FaultSchedule.CATCH_UP_MS);
        if (!finalChangeAcknowledged.get() && fleet.checker().finding().isEmpty()) {
            return Optional.of("at the end no order is taken any more");
        }
        if (fleet.checker().finding().isEmpty()) {
            fleet.checker().checkFinalState();
        }
        return fleet.checker().finding();
    }

    /** Returns the schedule without the faults that a finding does not depend on. */
    public static FaultSchedule shorten(FaultSchedule schedule, SeededDefect defect) {
        FaultSchedule shortest = schedule;
        for (int i = shortest.faults().size() - 1; i >= 0; i--) {
            FaultSchedule fewer = shortest.without(i);
            if (run(fewer, defect).isPresent()) {
                shortest = fewer;
            }
        }
        return shortest;
    }
}
