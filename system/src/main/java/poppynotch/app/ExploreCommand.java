package poppynotch.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.slf4j.LoggerFactory;
import poppynotch.simulation.FaultSchedule;
import poppynotch.simulation.SeededDefect;
import poppynotch.simulation.SimulationRun;

/** Plays drawn schedules of disruptions on the control code, on a virtual network and clock. */
@Parameters(commandDescription = "Play drawn schedules of disruptions on the control side")
final class ExploreCommand implements Main.Command {

    private static final int MOST_SHOWN = 10;

    @Parameter(names = "--from", description = "the seed of the first schedule")
    private long from = 1;

    @Parameter(names = "--schedules", description = "how many schedules")
    private long schedules = 2000;

    @Parameter(names = "--fault", description = "a fault to be seeded")
    private SeededDefect fault = SeededDefect.NONE;

    @Parameter(names = "--shorten", description = "leave out what a finding does not need")
    private boolean shorten;

    @Override
    public int run() {
        ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("poppynotch"))
                .setLevel(ch.qos.logback.classic.Level.ERROR);
        long beganMs = System.currentTimeMillis();
        AtomicInteger found = new AtomicInteger();
        LongStream.range(from, from + schedules)
                .parallel()
                .forEach(
                        seed ->
                                SimulationRun.run(FaultSchedule.draw(seed), fault)
                                        .ifPresent(
                                                what -> {
                                                    if (found.incrementAndGet() <= MOST_SHOWN) {
                                                        show(seed, what);
                                                    }
                                                }));
        System.out.printf(
                "%d schedules from seed %d, fault %s: %d with a finding, %.1f s%n",
                schedules, from, fault, found.get(), (System.currentTimeMillis() - beganMs) / 1e3);
        return found.get() == 0 ? 0 : 1;
    }

    private void show(long seed, String what) {
        FaultSchedule schedule = FaultSchedule.draw(seed);
        if (shorten) {
            schedule = SimulationRun.shorten(schedule, fault);
        }
        System.out.println(seed + ": " + what + "; " + schedule.size() + " " + schedule.faults());
    }
}
