package poppynotch.app;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.slf4j.LoggerFactory;
import poppynotch.simulation.FaultSchedule;
import poppynotch.simulation.SeededDefect;
import poppynotch.simulation.SimulationRun;

/**
 * Runs randomly drawn fault schedules on the simulated control plane and prints the first findings.
 * The exit code is 0 if there was none.
 */
@Parameters(commandDescription = "Run random fault schedules on a simulated control plane")
final class ExploreCommand implements Main.Command {

    private static final int MAX_PRINTED_FINDINGS = 10;

    @Parameter(names = "--from", description = "the seed of the first schedule")
    private long firstSeed = 1;

    @Parameter(names = "--schedules", description = "the number of schedules")
    private long scheduleCount = 2000;

    @Parameter(names = "--fault", description = "a defect to be seeded")
    private SeededDefect defect = SeededDefect.NONE;

    @Parameter(
            names = "--losses-in-turn",
            description =
                    "only losses of disks, each soon after the recovery from the last one, under"
                            + " continuous changes")
    private boolean lossesInTurn;

    @Parameter(
            names = "--rollouts",
            description = "all kinds of faults, while operators roll out new versions of servers")
    private boolean rollouts;

    @Parameter(
            names = "--departures",
            description =
                    "servers that drain or leave while an edge is out of contact, and losses of"
                            + " all replicas at the acknowledgement")
    private boolean departures;

    @Parameter(
            names = "--shorten",
            description = "leave out faults that a finding does not depend on")
    private boolean shorten;

    private final AtomicInteger findingCount = new AtomicInteger();

    @Override
    public int run() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
        long startMs = System.currentTimeMillis();
        LongStream.range(firstSeed, firstSeed + scheduleCount).parallel().forEach(this::runSeed);
        double elapsedS =
                (System.currentTimeMillis() - startMs) / (double) TimeUnit.SECONDS.toMillis(1);
        System.out.printf(
                "%d schedules from seed %d, fault %s: %d with a finding, %.1f s%n",
                scheduleCount, firstSeed, defect, findingCount.get(), elapsedS);
        return findingCount.get() == 0 ? 0 : 1;
    }

    /** Runs one schedule; called by several threads at once. */
    private void runSeed(long seed) {
        FaultSchedule schedule = draw(seed);
        Optional<String> finding = SimulationRun.run(schedule, defect);
        if (finding.isPresent() && findingCount.incrementAndGet() <= MAX_PRINTED_FINDINGS) {
            print(finding.get(), schedule);
        }
    }

    private FaultSchedule draw(long seed) {
        if (lossesInTurn) {
            return FaultSchedule.drawLossesInTurn(seed);
        }
        if (departures) {
            return FaultSchedule.drawDepartures(seed);
        }
        return rollouts ? FaultSchedule.drawWithRollouts(seed) : FaultSchedule.draw(seed);
    }

    private void print(String finding, FaultSchedule schedule) {
        FaultSchedule printed = shorten ? SimulationRun.shorten(schedule, defect) : schedule;
        System.out.println(
                printed.seed() + ": " + finding + "; " + printed.size() + " " + printed.faults());
    }
}
