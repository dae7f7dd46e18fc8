package poppynotch.lab;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import poppynotch.lab.fleet.FailureDomains;
import poppynotch.lab.fleet.LeasePartitionTrial;
import poppynotch.lab.fleet.RegionTrial;
import poppynotch.lab.fleet.RolloutPartitionTrial;
import poppynotch.lab.fleet.TrialOutcome;
import poppynotch.lab.report.PartitionReport;
import poppynotch.lab.report.ScaleResults;

/**
 * Measures fleets of two regions and five zones on the virtual clock, and what a cut between them
 * does.
 */
@Command(
        name = "cut",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Plays fleets of two regions (r1: z1 z2 z3; r2: z4 z5; racks of 24) on the virtual"
                    + " clock with the product's own state machines: idle, an ordinary day pressed"
                    + " into 5 minutes, a rack, a zone and a region gone and back, the regions"
                    + " apart, duties and a release meanwhile.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all came back to one view and kept what is promised",
            "1:something did not, and is named",
            "2:the command line is wrong"
        },
        footerHeading = "%nExamples:%n",
        footer = {
            "  lab scale cut --out cut",
            "  lab scale cut --size 108 --cut 15m --part hour,duties --out quick",
            "  lab scale cut --size 430,860,1720 --seeds-in one --seed 2 --threads 3 --out"
                    + " one-region"
        })
final class ScaleCutCommand implements Callable<Integer> {

    private static final Pattern TIME = Pattern.compile("([0-9]{1,6})([hms]?)");
    private static final double HOUR_MS = 3_600_000;
    private static final double LONGEST_MS = 24 * HOUR_MS;
    private static final int LEAST = 20;
    private static final int MOST = 5000;

    /** What can be played. */
    enum Part {
        /** Idle, an ordinary day, a rack, a zone and regions gone. */
        DAYS,
        /** Idle with verdicts and loans of allowances riding along. */
        SHARING,
        /** The regions apart. */
        HOUR,
        /** The regions apart, with restarts on both sides. */
        RESTARTS,
        /** A duty while the regions are apart. */
        DUTIES,
        /** A release while the regions are apart. */
        RELEASE
    }

    /** Where seeds are. */
    enum SeedsIn {
        /** One in each zone. */
        BOTH,
        /** Three, in the larger region. */
        ONE
    }

    private record Task(String name, int size, Callable<TrialOutcome> play) {}

    private record Played(TrialOutcome outcome, double seconds) {}

    @Spec private CommandSpec spec;

    @Option(
            names = "--size",
            split = ",",
            paramLabel = "N",
            description = "Members, 20 to 5000; else 108,215,430,860,1720.")
    private List<Integer> sizes = List.of(108, 215, 430, 860, 1720);

    @Option(
            names = "--cut",
            paramLabel = "TIME",
            description = "How long the regions are apart, as 1h, 15m or 900s; else 1h.")
    private String cut = "1h";

    @Option(names = "--seed", paramLabel = "N", description = "1 if not said.")
    private long seed = 1;

    @Option(
            names = "--seeds-in",
            paramLabel = "both|one",
            description =
                    "A seed in each zone of both regions, or three in the larger region alone; else"
                            + " both.")
    private SeedsIn seedsIn = SeedsIn.BOTH;

    @Option(
            names = "--part",
            split = ",",
            paramLabel = "PART",
            description =
                    "Plays these alone: days, sharing, hour, restarts, duties, release; else all.")
    private List<Part> parts = Arrays.asList(Part.values());

    @Option(
            names = "--delay-zone",
            paramLabel = "MS",
            description = "One way within a zone; 0.1 if not said.")
    private double zoneMs = FailureDomains.Delays.DEFAULT.zoneMs();

    @Option(
            names = "--delay-region",
            paramLabel = "MS",
            description = "One way between zones of a region; 0.5 if not said.")
    private double regionMs = FailureDomains.Delays.DEFAULT.regionMs();

    @Option(
            names = "--delay-regions",
            paramLabel = "MS",
            description = "One way between regions; 30 if not said.")
    private double regionsMs = FailureDomains.Delays.DEFAULT.regionsMs();

    @Option(
            names = "--threads",
            paramLabel = "N",
            description =
                    "Plays so many trials at a time, each on one thread; else half of the cores.")
    private int threads = Math.max(1, Runtime.getRuntime().availableProcessors() / 2);

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description = "Where index.html and results.json go.")
    private Path out;

    @Option(
            names = "--commit",
            paramLabel = "COMMIT",
            description = "What is measured, for results.json; else as git says here.")
    private String commit;

    @Override
    public Integer call() throws Exception {
        if (sizes.isEmpty()
                || sizes.stream().anyMatch(size -> size < LEAST || size > MOST)
                || sizes.stream().distinct().count() < sizes.size()) {
            throw new IllegalArgumentException(
                    "--size must be different numbers from "
                            + LEAST
                            + " to "
                            + MOST
                            + " but is "
                            + sizes);
        }
        if (threads < 1 || threads > 64) {
            throw new IllegalArgumentException("--threads must be 1 to 64 but is " + threads);
        }
        double cutMs = milliseconds(cut);
        List<Task> tasks = tasks(cutMs, new FailureDomains.Delays(zoneMs, regionMs, regionsMs));
        PrintWriter terminal = spec.commandLine().getOut();
        long begun = System.nanoTime();
        List<Played> played = play(tasks, terminal);
        double wall = (System.nanoTime() - begun) / 1e9;
        List<TrialOutcome> outcomes = played.stream().map(Played::outcome).toList();
        outcomes.stream()
                .flatMap(each -> each.figures().stream())
                .forEach(
                        figure ->
                                terminal.printf(
                                        Locale.ROOT,
                                        "%-56s %5s %12.4g %s%n",
                                        figure.key(),
                                        figure.size() == 0 ? "" : figure.size(),
                                        figure.value(),
                                        figure.unit()));
        List<String> findings =
                outcomes.stream().flatMap(each -> each.findings().stream()).toList();
        findings.forEach(finding -> terminal.println("FINDING " + finding));
        terminal.printf(
                Locale.ROOT,
                "%d trials on %d threads took %.0f s, %.0f s of all threads%n",
                tasks.size(),
                threads,
                wall,
                played.stream().mapToDouble(Played::seconds).sum());
        terminal.flush();
        if (out != null) {
            String command = command();
            PartitionReport.write(
                    out,
                    List.of(
                            "By " + command + ".",
                            String.format(
                                    Locale.ROOT,
                                    "Played on the virtual clock by the product's own state"
                                        + " machines: %d trials in %.0f s on %d threads. Bytes are"
                                        + " those of messages, without the heads of UDP and IP; a"
                                        + " core's part includes the emulation.",
                                    tasks.size(),
                                    wall,
                                    threads),
                            "Two regions: r1 with z1, z2, z3 and r2 with z4, z5; racks of "
                                    + FailureDomains.MEMBERS_PER_RACK
                                    + ", which is our reading. The sharing part's load is assumed:"
                                    + " 53 calls a second at each process, to 30 servers, 1 in 100"
                                    + " failing, 4 tenants."),
                    outcomes);
            ScaleResults results = new ScaleResults(command, commit);
            outcomes.stream()
                    .flatMap(each -> each.figures().stream())
                    .forEach(
                            figure -> {
                                if (figure.n() == 1) {
                                    results.add(
                                            figure.key(),
                                            figure.unit(),
                                            figure.size(),
                                            figure.value());
                                } else {
                                    results.add(
                                            figure.key(),
                                            figure.unit(),
                                            figure.size(),
                                            figure.value(),
                                            figure.low(),
                                            figure.high(),
                                            figure.n());
                                }
                            });
            results.write(out);
        }
        return findings.isEmpty() ? 0 : 1;
    }

    private static double milliseconds(String text) {
        Matcher matcher = TIME.matcher(text);
        double ms =
                !matcher.matches()
                        ? -1
                        : Integer.parseInt(matcher.group(1))
                                * switch (matcher.group(2)) {
                                    case "h" -> HOUR_MS;
                                    case "m" -> 60_000;
                                    default -> 1000;
                                };
        if (ms < 10_000 || ms > LONGEST_MS) {
            throw new IllegalArgumentException(
                    "--cut must be a time as 1h, 15m or 900s, from 10s to 24h,"
                            + " but is "
                            + text);
        }
        return ms;
    }

    private String command() {
        // The words before the options are the commands above this one.
        return String.join(
                " ",
                Stream.concat(
                                Stream.of("lab", "scale", "cut"),
                                spec.commandLine().getParseResult().originalArgs().stream()
                                        .dropWhile(word -> !word.startsWith("-")))
                        .toList());
    }

    /** The largest first, so that the last one to end is a short one. */
    private List<Task> tasks(double cutMs, FailureDomains.Delays delays) {
        String phase = cutMs == HOUR_MS ? "region_hour" : "region_cut";
        List<Task> tasks = new ArrayList<>();
        for (int size : sizes.stream().sorted(Comparator.reverseOrder()).toList()) {
            RegionTrial.Setting setting =
                    new RegionTrial.Setting(
                            size, seed, seedsIn == SeedsIn.BOTH, false, cutMs, delays);
            RegionTrial.Setting shared =
                    new RegionTrial.Setting(
                            size, seed, seedsIn == SeedsIn.BOTH, true, cutMs, delays);
            Map<Part, Callable<TrialOutcome>> plays = new LinkedHashMap<>();
            plays.put(
                    Part.RESTARTS, () -> RegionTrial.partition(setting, phase + "_restarts", true));
            plays.put(Part.HOUR, () -> RegionTrial.partition(setting, phase, false));
            plays.put(Part.RELEASE, () -> RolloutPartitionTrial.play(size, cutMs, seed, delays));
            plays.put(Part.DAYS, () -> RegionTrial.days(setting));
            plays.put(Part.SHARING, () -> RegionTrial.idle(shared));
            plays.forEach(
                    (part, play) -> {
                        if (parts.contains(part)) {
                            tasks.add(
                                    new Task(
                                            part.name().toLowerCase(Locale.ROOT) + " " + size,
                                            size,
                                            play));
                        }
                    });
        }
        if (parts.contains(Part.DUTIES)) {
            for (LeasePartitionTrial.RaftPlacement placing :
                    LeasePartitionTrial.RaftPlacement.ALL) {
                for (boolean leaderDies : new boolean[] {false, true}) {
                    tasks.add(
                            new Task(
                                    "duties " + placing.key() + (leaderDies ? " leader dies" : ""),
                                    0,
                                    () ->
                                            LeasePartitionTrial.play(
                                                    placing, leaderDies, cutMs, seed, delays)));
                }
            }
        }
        return tasks;
    }

    /** Plays all; the outcomes come in the order of sizes, whatever ended first. */
    private List<Played> play(List<Task> tasks, PrintWriter terminal) throws Exception {
        ExecutorService pool =
                Executors.newFixedThreadPool(
                        threads,
                        work -> {
                            Thread thread = new Thread(work, "trial");
                            thread.setDaemon(true);
                            return thread;
                        });
        try {
            int[] ended = new int[1];
            List<Future<Played>> all =
                    tasks.stream()
                            .map(
                                    task ->
                                            pool.submit(
                                                    () -> {
                                                        long from = System.nanoTime();
                                                        TrialOutcome outcome = task.play().call();
                                                        double seconds =
                                                                (System.nanoTime() - from) / 1e9;
                                                        synchronized (terminal) {
                                                            terminal.printf(
                                                                    Locale.ROOT,
                                                                    "%d of %d: %s took %.1f s%s%n",
                                                                    ++ended[0],
                                                                    tasks.size(),
                                                                    task.name(),
                                                                    seconds,
                                                                    outcome.findings().isEmpty()
                                                                            ? ""
                                                                            : ", with findings");
                                                            terminal.flush();
                                                        }
                                                        return new Played(outcome, seconds);
                                                    }))
                            .toList();
            Map<Task, Played> played = new LinkedHashMap<>();
            for (int i = 0; i < tasks.size(); i++) {
                played.put(tasks.get(i), all.get(i).get());
            }
            return tasks.stream()
                    .sorted(Comparator.comparingInt(Task::size))
                    .map(played::get)
                    .toList();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Exception cause ? cause : e;
        } finally {
            pool.shutdownNow();
        }
    }
}
