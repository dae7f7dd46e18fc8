package poppynotch.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.experiment.Experiment.Mode;
import poppynotch.lab.experiment.ExperimentErrors;
import poppynotch.lab.experiment.ExperimentReader;
import poppynotch.lab.fleet.SharedFleet;
import poppynotch.lab.measure.Result;
import poppynotch.lab.policy.Policies;
import poppynotch.lab.socket.SocketWorld;
import poppynotch.lab.virtual.VirtualWorld;

/**
 * All simulated days of an experiment: every point of its sweep, every policy, every seed, in this
 * order. It is made and played by the thread of one command; in virtual mode {@link #play} runs the
 * days on a pool of its own, which it shuts down before it returns.
 */
final class Campaign {

    /** One day to be played: a point of the sweep under one policy with one seed. */
    record Day(Experiment experiment, Map<String, String> point, String policy, long seed) {}

    /** Finds out how sidecars are started; asked in socket mode only. */
    interface LaunchSupplier {
        SocketWorld.Launch get() throws IOException;
    }

    private final List<Day> days = new ArrayList<>();
    private final Mode mode;
    private final CampaignPrinter printer;
    private final LaunchSupplier launchSupplier;
    private final int threads;

    /**
     * Reads the experiment and lists its days.
     *
     * @param file the name of an experiment that comes with the lab, or a file
     * @param changes values by the keys of the file that they replace
     * @param sweep whether the file's sweep is played, or its own values only
     * @param launchSupplier how sidecars are started, asked in socket mode only
     * @param threads how many days may be played at once in virtual mode
     * @param out where each day's result is printed
     * @throws ExperimentErrors if the file has errors
     * @throws IllegalArgumentException if the sweep is missing or too large, a policy is unknown,
     *     or no policy can be played in the file's mode
     */
    Campaign(
            String file,
            Map<String, String> changes,
            boolean sweep,
            LaunchSupplier launchSupplier,
            int threads,
            PrintWriter out)
            throws IOException, ExperimentErrors {
        this.launchSupplier = launchSupplier;
        this.threads = threads;
        printer = new CampaignPrinter(out);
        Experiment base = ExperimentReader.read(file, ExperimentReader.tree(file, changes));
        mode = base.mode();
        if (sweep && base.sweep().isEmpty()) {
            throw new IllegalArgumentException(file + ": sweep is missing or empty");
        }
        List<Map<String, String>> points =
                sweep ? SweepPoints.of(file, base.sweep()) : List.of(Map.<String, String>of());
        for (Map<String, String> point : points) {
            Map<String, String> values = new LinkedHashMap<>(changes);
            values.putAll(point);
            addDays(file, ExperimentReader.read(file, ExperimentReader.tree(file, values)), point);
        }
        if (days.isEmpty()) {
            throw new IllegalArgumentException(
                    file
                            + ": policies names none that socket mode can play; it plays "
                            + Policies.DECIDE
                            + " alone");
        }
    }

    private void addDays(String file, Experiment experiment, Map<String, String> point) {
        for (String policy : experiment.policies()) {
            if (!Policies.names().contains(policy)) {
                throw new IllegalArgumentException(
                        file
                                + ": policies names "
                                + policy
                                + ", which is none of "
                                + String.join(", ", Policies.names()));
            }
            // Real sidecars run the product's policy only.
            if (mode == Mode.SOCKET && !policy.equals(Policies.DECIDE)) {
                continue;
            }
            experiment.seeds().forEach(seed -> days.add(new Day(experiment, point, policy, seed)));
        }
    }

    /** What the experiment shows, in one sentence. */
    String about() {
        return days.get(0).experiment().description();
    }

    /**
     * Plays all days and prints each result when its turn comes, in the order of the days.
     *
     * @throws IOException if a sidecar cannot be started, or the thread is interrupted
     * @throws IllegalStateException if a day failed in virtual mode; the cause says why
     */
    List<Result> play() throws IOException {
        return mode == Mode.SOCKET ? playOnSockets() : playOnVirtualClock();
    }

    /** Plays one day after the other, as each starts processes of its own. */
    private List<Result> playOnSockets() throws IOException {
        List<Result> results = new ArrayList<>();
        SocketWorld.Launch launch = launchSupplier.get();
        for (Day day : days) {
            Result result =
                    SocketWorld.play(
                            day.experiment(),
                            day.seed(),
                            day.point(),
                            launch,
                            new ProgressLine(days.size(), results.size()));
            results.add(result);
            printer.printResult(result);
        }
        return results;
    }

    private List<Result> playOnVirtualClock() throws IOException {
        List<Result> results = new ArrayList<>();
        ExecutorService pool = Executors.newFixedThreadPool(Math.min(threads, days.size()));
        try {
            AtomicInteger completedDays = new AtomicInteger();
            List<Future<VirtualWorld.DayRun>> pending = new ArrayList<>();
            for (Day day : days) {
                pending.add(pool.submit(() -> playDay(day, completedDays)));
            }
            for (Future<VirtualWorld.DayRun> future : pending) {
                VirtualWorld.DayRun played = future.get();
                results.add(played.result());
                printer.printResult(played.result());
                printer.printSimulationSpeed(played);
            }
            return results;
        } catch (ExecutionException e) {
            throw new IllegalStateException(
                    "a day could not be played: " + e.getCause(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            pool.shutdownNow();
        }
    }

    private VirtualWorld.DayRun playDay(Day day, AtomicInteger completedDays) throws Exception {
        // Live memory is that of the whole process, so it says something with one day at a time.
        boolean measureMemory = threads == 1;
        VirtualWorld.DayRun played =
                VirtualWorld.play(
                        day.experiment(),
                        day.seed(),
                        day.policy(),
                        day.point(),
                        clock -> new SharedFleet(day.experiment(), day.seed(), clock),
                        measureMemory,
                        new ProgressLine(days.size(), completedDays.get()));
        completedDays.incrementAndGet();
        return played;
    }
}
