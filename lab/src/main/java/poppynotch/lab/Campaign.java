package poppynotch.lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
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

/** All days of an experiment: every point of its sweep, every policy, every seed, in this order. */
final class Campaign {

    /** More points than this are a slip in the file: each is played for every policy and seed. */
    private static final int MOST_POINTS = 1000;

    /** One day to be played. */
    record Day(Experiment experiment, Map<String, String> point, String policy, long seed) {}

    private final List<Day> days = new ArrayList<>();
    private final Mode mode;
    private final PrintWriter terminal;
    private final LaunchMaker launch;
    private final int threads;

    /** Finds out how sidecars are started, where that is needed. */
    interface LaunchMaker {
        SocketWorld.Launch make() throws IOException;
    }

    /**
     * Makes out the days.
     *
     * @param swept whether the file's sweep is played, or its own values alone
     * @param launch how sidecars are started, asked in socket mode alone
     * @param threads how many days may be played at once in virtual mode
     */
    Campaign(
            String file,
            Map<String, String> changes,
            boolean swept,
            LaunchMaker launch,
            int threads,
            PrintWriter terminal)
            throws IOException, ExperimentErrors {
        this.launch = launch;
        this.threads = threads;
        this.terminal = terminal;
        Experiment base = ExperimentReader.read(file, ExperimentReader.tree(file, changes));
        mode = base.mode();
        if (swept && base.sweep().isEmpty()) {
            throw new IllegalArgumentException(file + ": sweep is missing or empty");
        }
        for (Map<String, String> point :
                swept ? points(file, base.sweep()) : List.of(Map.<String, String>of())) {
            Map<String, String> all = new LinkedHashMap<>(changes);
            all.putAll(point);
            Experiment experiment = ExperimentReader.read(file, ExperimentReader.tree(file, all));
            for (String policy : experiment.policies()) {
                if (!Policies.names().contains(policy)) {
                    throw new IllegalArgumentException(
                            file
                                    + ": policies names "
                                    + policy
                                    + ", which is none of "
                                    + String.join(", ", Policies.names()));
                }
                if (mode == Mode.SOCKET && !policy.equals(Policies.DECIDE)) {
                    continue;
                }
                experiment
                        .seeds()
                        .forEach(seed -> days.add(new Day(experiment, point, policy, seed)));
            }
        }
        if (days.isEmpty()) {
            throw new IllegalArgumentException(
                    file
                            + ": policies names none that socket mode can play; it plays "
                            + Policies.DECIDE
                            + " alone");
        }
    }

    private static List<Map<String, String>> points(String file, Map<String, List<String>> sweep) {
        List<Map<String, String>> points = List.of(Map.of());
        for (Map.Entry<String, List<String>> key : sweep.entrySet()) {
            List<Map<String, String>> longer = new ArrayList<>();
            for (Map<String, String> point : points) {
                for (String value : key.getValue()) {
                    Map<String, String> more = new LinkedHashMap<>(point);
                    more.put(key.getKey(), value);
                    longer.add(more);
                }
            }
            points = longer;
            if (points.size() > MOST_POINTS) {
                throw new IllegalArgumentException(
                        file + ": sweep has more than " + MOST_POINTS + " points");
            }
        }
        return points;
    }

    /** What the experiment shows, in one sentence. */
    String about() {
        return days.get(0).experiment().about();
    }

    /** Plays all days; each is told as it ends, in the order of the days. */
    List<Result> play() throws IOException {
        List<Result> results = new ArrayList<>();
        if (mode == Mode.SOCKET) {
            SocketWorld.Launch how = launch.make();
            for (Day day : days) {
                Result result =
                        SocketWorld.play(
                                day.experiment(),
                                day.seed(),
                                day.point(),
                                how,
                                new Progress(days.size(), results.size()));
                results.add(result);
                tell(result);
            }
            return results;
        }
        ExecutorService pool = Executors.newFixedThreadPool(Math.min(threads, days.size()));
        try {
            AtomicInteger done = new AtomicInteger();
            List<Future<VirtualWorld.Played>> played = new ArrayList<>();
            for (Day day : days) {
                played.add(
                        pool.submit(
                                () -> {
                                    VirtualWorld.Played one =
                                            VirtualWorld.play(
                                                    day.experiment(),
                                                    day.seed(),
                                                    day.policy(),
                                                    day.point(),
                                                    clock ->
                                                            new SharedFleet(
                                                                    day.experiment(),
                                                                    day.seed(),
                                                                    clock),
                                                    threads == 1,
                                                    new Progress(days.size(), done.get()));
                                    done.incrementAndGet();
                                    return one;
                                }));
            }
            for (Future<VirtualWorld.Played> future : played) {
                VirtualWorld.Played one = future.get();
                results.add(one.result());
                tell(one.result());
                tell(one);
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

    /** A line that is written over, on a terminal; nothing where the output goes elsewhere. */
    private record Progress(int days, int before) implements java.util.function.DoubleConsumer {
        @Override
        public void accept(double part) {
            if (System.console() != null) {
                System.err.printf(
                        Locale.ROOT, "\r%3.0f %% of %d days ", 100 * (before + part) / days, days);
                System.err.flush();
            }
        }
    }

    private void tell(VirtualWorld.Played played) {
        terminal.printf(
                Locale.ROOT,
                "  played in %.1f s: %.1f million events, %.0f thousand a second%s%n",
                played.nanos() / 1e9,
                played.events() / 1e6,
                played.events() / (played.nanos() / 1e6),
                played.liveBytes() < 0
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                ", %.0f MB live, %d sidecars, %d nodos",
                                played.liveBytes() / 1048576.0,
                                played.sidecars(),
                                played.nodos()));
        terminal.flush();
    }

    private void tell(Result result) {
        Result.Totals t = result.totals();
        terminal.printf(
                Locale.ROOT,
                "%s%s seed %d, %s, %s: G %.3f  (whole %.3f, worst 10 s %.3f, worst class %.3f)%n",
                System.console() == null ? "" : "\r",
                result.experiment() + (result.point().isEmpty() ? "" : " " + result.point()),
                result.seed(),
                result.mode(),
                result.policy(),
                result.g(),
                result.whole(),
                result.worstTenSeconds(),
                result.worstClass());
        double n = Math.max(1, t.offered()) / 100.0;
        terminal.printf(
                Locale.ROOT,
                "  of %d: %.1f %% in time, %.1f late, %.1f refused, %.1f failed;"
                        + " answers p50 %.0f, p99 %.0f ms; %.2f tries, %.2f attempts each%n",
                t.offered(),
                t.inTime() / n,
                t.late() / n,
                t.refused() / n,
                t.failed() / n,
                result.latency().p50(),
                result.latency().p99(),
                t.tries() / (n * 100),
                t.attempts() / (n * 100));
        result.notes().forEach(note -> terminal.println("  note: " + note));
        if (result.kept()) {
            terminal.println("  rules kept");
        }
        result.rules()
                .forEach(
                        (rule, count) ->
                                terminal.println(
                                        "  RULE BROKEN: " + rule + ", " + count + " times"));
        result.broken()
                .forEach(
                        broken ->
                                terminal.printf(
                                        Locale.ROOT,
                                        "    %s at %.3f s: request %s, nodo %s: %s%n",
                                        broken.rule().name().toLowerCase(Locale.ROOT),
                                        broken.atMs() / 1000,
                                        broken.request(),
                                        broken.nodo(),
                                        broken.why()));
        terminal.flush();
    }
}
