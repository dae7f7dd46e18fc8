package poppynotch.lab.fleet;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MembershipView;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.lab.virtual.VirtualClock;

/**
 * Trial of a fleet of two regions and five zones on virtual time: its traffic when idle and on an
 * ordinary day, how it converges after the loss of a rack, a zone or a region, and after a long
 * partition between the regions.
 *
 * <p>The static methods run one trial each on the calling thread and return its figures.
 */
public final class RegionTrial {

    private static final double STEP_MS = 100;
    private static final double SECOND_MS = 1000;
    private static final double START_SPREAD_MS = 5000;
    private static final double MAX_START_MS = 300_000;

    /** Gossip about a start or a fault has ended by then. */
    private static final double QUIET_MS = 60_000;

    /** Traffic counts as quiet up to this ratio to the traffic before the partition. */
    private static final double QUIET_TRAFFIC_RATIO = 1.25;

    private static final double IDLE_MS = 120_000;
    private static final double DAY_MS = 300_000;
    private static final double RESTART_DOWNTIME_MS = 5000;
    private static final double FAILURE_DOWNTIME_MS = 60_000;

    /** Longer than all promised bounds; what has not converged by then is a finding. */
    private static final double MAX_CONVERGENCE_MS = 600_000;

    /** The fleet size for which the operators' plan states restarts and failures per day. */
    private static final int PLANNED_MEMBERS = 430;

    private static final int RESTARTS_PER_DAY = 110;
    private static final int FAILURES_PER_DAY = 2;

    /** How many members of each side have their views sampled. */
    private static final int SAMPLED_MEMBERS = 12;

    private static final double SAMPLE_INTERVAL_MS = 10_000;
    private static final int SEEDS_ONE_REGION = 3;
    private static final int SEEDS_EACH_ZONE = 5;
    private static final List<String> REGIONS = List.of("r1", "r2");

    /**
     * The settings of a trial.
     *
     * @param size number of members
     * @param seedsInBoth whether each zone has a seed; else the larger region alone has three
     * @param shared whether observations and loans of quota are piggybacked
     * @param cutMs how long the partition between the regions lasts
     */
    public record Setting(
            int size,
            long seed,
            boolean seedsInBoth,
            boolean shared,
            double cutMs,
            FailureDomains.Delays delays) {}

    private final Setting setting;
    private final FailureDomains places;
    private final VirtualClock time = new VirtualClock();
    private final VirtualFleet fleet;
    private final SplittableRandom random;
    private final TrafficMeter meter;
    private final TrialOutcome outcome = new TrialOutcome();

    /** The fleet has run up to this time; the clock itself stands at the last event before. */
    private double nowMs;

    private final Map<Integer, SharingLoad> loads = new HashMap<>();
    private double partitionEndMs = Double.POSITIVE_INFINITY;
    private double firstContactMs = Double.NaN;

    private RegionTrial(Setting setting) {
        this.setting = setting;
        random = new SplittableRandom(setting.seed() * 131 + 7);
        places = FailureDomains.planned(setting.size(), setting.delays());
        int seeds = setting.seedsInBoth() ? SEEDS_EACH_ZONE : SEEDS_ONE_REGION;
        FleetPlan plan =
                new FleetPlan(setting.size(), setting.seed(), START_SPREAD_MS, seeds, 0, List.of());
        Function<VirtualFleet.Node, PiggybackPayload> riders =
                node -> {
                    if (!setting.shared()) {
                        return PiggybackPayload.NONE;
                    }
                    SharingLoad load = new SharingLoad(node, time, random.split(), setting.size());
                    SharingLoad before = loads.put(node.number, load);
                    if (before != null) {
                        before.stop();
                    }
                    return load.payloads();
                };
        fleet =
                new VirtualFleet(
                        plan,
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {
                            boolean far =
                                    is.state().isPresent()
                                            && places.region(at)
                                                    != places.region(memberNumber(is.name()));
                            if (now >= partitionEndMs && Double.isNaN(firstContactMs) && far) {
                                firstContactMs = now;
                            }
                        },
                        riders,
                        time,
                        places);
        meter = new TrafficMeter(fleet);
    }

    /** Measures the traffic and CPU time of an idle fleet. */
    public static TrialOutcome idle(Setting setting) {
        RegionTrial trial = new RegionTrial(setting);
        trial.start();
        trial.idle(setting.shared() ? "sharing" : "membership");
        return trial.outcome;
    }

    /**
     * Measures an idle fleet, an ordinary day compressed into minutes, and the loss and return of a
     * rack, a zone and each region.
     */
    public static TrialOutcome days(Setting setting) {
        RegionTrial trial = new RegionTrial(setting);
        double started = trial.start();
        if (!Double.isNaN(started)) {
            trial.add("start.one_view", "s", started);
        }
        trial.idle("membership");
        trial.measureDay();
        trial.measureLoss("rack", "z1/0");
        trial.measureLoss("zone", "z1");
        trial.measureLoss("region_small", "r2");
        trial.measureLoss("region", "r1");
        return trial.outcome;
    }

    /**
     * Measures a partition between the regions and the recovery from it.
     *
     * @param phase the first part of the figures' keys
     * @param restarts whether members of both sides restart meanwhile, in the number of a day
     */
    public static TrialOutcome partition(Setting setting, String phase, boolean restarts) {
        RegionTrial trial = new RegionTrial(setting);
        trial.start();
        trial.partition(phase, restarts);
        return trial.outcome;
    }

    private void add(String key, String unit, double value) {
        outcome.add(key, unit, setting.size(), value);
    }

    private void advance(double ms) {
        nowMs += ms;
        fleet.runUntil(nowMs);
    }

    /** Starts all members; returns the seconds until their views had converged, or NaN. */
    private double start() {
        advance(START_SPREAD_MS);
        double started = (START_SPREAD_MS + awaitConvergence(MAX_START_MS)) / 1000;
        if (Double.isNaN(started)) {
            addConvergenceFinding("the start", MAX_START_MS);
        }
        advance(QUIET_MS);
        return started;
    }

    private void addConvergenceFinding(String after, double ms) {
        long views =
                fleet.nodes().stream()
                        .filter(VirtualFleet.Node::isRunning)
                        .mapToLong(node -> node.membership.viewDigest())
                        .distinct()
                        .count();
        outcome.findings()
                .add(
                        "size "
                                + setting.size()
                                + ", seed "
                                + setting.seed()
                                + ": after "
                                + after
                                + " there was not one view within "
                                + Math.round(ms / 1000)
                                + " s, but "
                                + views);
    }

    /** Runs until all views have converged; returns how many milliseconds it took, or NaN. */
    private double awaitConvergence(double longestMs) {
        double from = nowMs;
        while (!fleet.hasConverged()) {
            if (nowMs - from >= longestMs) {
                return Double.NaN;
            }
            advance(STEP_MS);
        }
        return nowMs - from;
    }

    private void idle(String role) {
        meter.begin();
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        advance(IDLE_MS);
        double core = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu) / 1e9;
        addTrafficRates("idle." + role);
        add("idle." + role + ".core", "core", core / (setting.size() * IDLE_MS / 1000));
        add("idle." + role + ".entries", "count", viewSize(fleet.nodes().get(0)));
    }

    private void addTrafficRates(String key) {
        int size = setting.size();
        outcome.add(key + ".bytes_out", "B/s", size, meter.rate(TrafficMeter.Metric.BYTES_OUT));
        outcome.add(key + ".bytes_in", "B/s", size, meter.rate(TrafficMeter.Metric.BYTES_IN));
        outcome.add(
                key + ".messages_out", "1/s", size, meter.rate(TrafficMeter.Metric.MESSAGES_OUT));
        outcome.add(key + ".messages_in", "1/s", size, meter.rate(TrafficMeter.Metric.MESSAGES_IN));
        outcome.add(
                key + ".bytes_out_far",
                "B/s",
                size,
                meter.rate(TrafficMeter.Metric.CROSS_REGION_BYTES_OUT));
        outcome.add(
                key + ".messages_out_far",
                "1/s",
                size,
                meter.rate(TrafficMeter.Metric.CROSS_REGION_MESSAGES_OUT));
    }

    private static int memberNumber(String member) {
        return Integer.parseInt(member.substring(1));
    }

    private static int viewSize(VirtualFleet.Node node) {
        return node.membership.view(node.localTimeMs()).members().size();
    }

    /** Schedules a day's number of restarts and failures at random times of a period. */
    private List<Fault> scheduleFaults(double fromMs, double lastsMs) {
        int restarts =
                Math.max(
                        1, Math.round((float) RESTARTS_PER_DAY * setting.size() / PLANNED_MEMBERS));
        int failures =
                Math.max(
                        1, Math.round((float) FAILURES_PER_DAY * setting.size() / PLANNED_MEMBERS));
        List<Fault> all = new ArrayList<>();
        for (int i = 0; i < restarts + failures; i++) {
            boolean fails = i >= restarts;
            all.add(
                    new Fault(
                            fromMs + random.nextDouble() * lastsMs,
                            fails ? Fault.Kind.KILL : Fault.Kind.LEAVE,
                            List.of(random.nextInt(setting.size())),
                            fails ? FAILURE_DOWNTIME_MS : RESTART_DOWNTIME_MS,
                            0));
        }
        all.forEach(
                fault -> time.schedule(fault.at() - fleet.elapsedMs(), () -> fleet.inject(fault)));
        return all;
    }

    private void measureDay() {
        meter.begin();
        scheduleFaults(nowMs, DAY_MS);
        List<TrafficMeter.Second> seconds = recordSeconds(DAY_MS);
        addTrafficRates("day.membership");
        add("day.membership.peak_bytes_out", "B/s", max(seconds, TrafficMeter.Second::maxOfMember));
        advance(FAILURE_DOWNTIME_MS);
        measureConvergence("day");
        advance(QUIET_MS);
    }

    private static double max(
            List<TrafficMeter.Second> seconds, ToLongFunction<TrafficMeter.Second> of) {
        return seconds.stream().mapToLong(of).max().orElse(0);
    }

    private List<TrafficMeter.Second> recordSeconds(double ms) {
        List<TrafficMeter.Second> seconds = new ArrayList<>();
        meter.second();
        for (double at = 0; at < ms; at += SECOND_MS) {
            advance(SECOND_MS);
            seconds.add(meter.second());
        }
        return seconds;
    }

    private void measureConvergence(String phase) {
        double ms = awaitConvergence(MAX_CONVERGENCE_MS);
        if (Double.isNaN(ms)) {
            addConvergenceFinding(phase, MAX_CONVERGENCE_MS);
        } else {
            add(phase + ".one_view", "s", ms / 1000);
        }
    }

    /** Kills all members of a failure domain at once, and later starts them all at once. */
    private void measureLoss(String phase, String where) {
        List<Integer> who = places.in(where);
        fleet.inject(new Fault(nowMs, Fault.Kind.KILL, who, 0, 0));
        double known = awaitConvergence(MAX_CONVERGENCE_MS);
        if (Double.isNaN(known)) {
            addConvergenceFinding(phase + " gone", MAX_CONVERGENCE_MS);
        } else {
            add(phase + ".known", "s", known / 1000);
        }
        advance(QUIET_MS);
        who.forEach(each -> fleet.nodes().get(each).start());
        double back = awaitConvergence(MAX_CONVERGENCE_MS);
        if (Double.isNaN(back)) {
            addConvergenceFinding(phase + " back", MAX_CONVERGENCE_MS);
        } else {
            add(phase + ".back_one_view", "s", back / 1000);
        }
        advance(QUIET_MS);
    }

    /**
     * The views of the sampled members of one side at one moment.
     *
     * @param majority the fraction of them that see a majority present
     */
    private record SideSample(
            long views, double present, double entries, double maxEntries, double majority) {}

    private SideSample sampleSide(String region) {
        List<VirtualFleet.Node> all =
                places.in(region).stream()
                        .map(fleet.nodes()::get)
                        .filter(VirtualFleet.Node::isRunning)
                        .toList();
        long views =
                all.stream().mapToLong(node -> node.membership.viewDigest()).distinct().count();
        int step = Math.max(1, all.size() / SAMPLED_MEMBERS);
        List<MembershipView> sampledViews = new ArrayList<>();
        for (int i = 0; i < all.size(); i += step) {
            sampledViews.add(all.get(i).membership.view(all.get(i).localTimeMs()));
        }
        return new SideSample(
                views,
                sampledViews.stream().mapToLong(MembershipView::presentCount).average().orElse(0),
                sampledViews.stream().mapToInt(view -> view.members().size()).average().orElse(0),
                sampledViews.stream().mapToInt(view -> view.members().size()).max().orElse(0),
                sampledViews.stream().filter(MembershipView::majorityPresent).count()
                        / (double) Math.max(1, sampledViews.size()));
    }

    private boolean hasConverged(String region) {
        return fleet.hasConverged(node -> places.of(node.number).region().equals(region));
    }

    private void setPartitioned(boolean isPartitioned) {
        fleet.setRegionPartitioned("r1", "r2", isPartitioned);
        fleet.setRegionPartitioned("r2", "r1", isPartitioned);
    }

    private void partition(String phase, boolean restarts) {
        List<TrafficMeter.Second> before = recordSeconds(SAMPLE_INTERVAL_MS);
        double from = nowMs;
        double until = from + setting.cutMs();
        setPartitioned(true);
        meter.begin();
        JoinTimes joins = new JoinTimes();
        if (restarts) {
            // The last ones have joined before the partition ends.
            List<Fault> struck =
                    scheduleFaults(
                            from, Math.max(SECOND_MS, setting.cutMs() - 2 * FAILURE_DOWNTIME_MS));
            struck.forEach(
                    fault ->
                            time.schedule(
                                    fault.at() + fault.lasts() + 1 - fleet.elapsedMs(),
                                    () -> joins.onStarted(fault.who().get(0))));
        }
        ViewSampler sampler = new ViewSampler(from);
        List<TrafficMeter.Second> seconds = new ArrayList<>(before);
        while (nowMs < until) {
            advance(Math.min(SECOND_MS, until - nowMs));
            seconds.add(meter.second());
            sampler.sample();
            joins.checkJoined();
        }
        sampler.addFigures(phase);
        joins.addFigures(phase);
        addTrafficRates(phase + ".membership");
        partitionEndMs = nowMs;
        setPartitioned(false);
        List<TrafficMeter.Second> after = recordRecovery(phase, sampler);
        addQuietTime(phase, before, after);
        addPeaks(phase, seconds, after);
        seconds.addAll(after);
        String title = phase + ", " + setting.size() + " members";
        sampler.addCourses(title, from / 1000, partitionEndMs / 1000);
        addTrafficCourses(title, seconds, from / 1000, partitionEndMs / 1000);
    }

    /**
     * Runs until the views have converged and traffic had time to become quiet; returns the traffic
     * by the second.
     */
    private List<TrafficMeter.Second> recordRecovery(String phase, ViewSampler sampler) {
        List<TrafficMeter.Second> seconds = new ArrayList<>();
        double convergedAfterMs = Double.NaN;
        double quietFromMs = Double.NaN;
        while (nowMs < partitionEndMs + MAX_CONVERGENCE_MS && !(nowMs >= quietFromMs + QUIET_MS)) {
            for (int step = 0; step < SECOND_MS / STEP_MS; step++) {
                advance(STEP_MS);
                if (Double.isNaN(convergedAfterMs) && fleet.hasConverged()) {
                    convergedAfterMs = nowMs - partitionEndMs;
                    quietFromMs = nowMs;
                }
            }
            seconds.add(meter.second());
            sampler.sample();
        }
        if (Double.isNaN(convergedAfterMs)) {
            addConvergenceFinding(phase + " mended", MAX_CONVERGENCE_MS);
        } else {
            add(phase + ".one_view", "s", convergedAfterMs / 1000);
        }
        if (!Double.isNaN(firstContactMs)) {
            add(phase + ".contact", "s", (firstContactMs - partitionEndMs) / 1000);
        }
        return seconds;
    }

    private void addPeaks(
            String phase,
            List<TrafficMeter.Second> untilPartitionEnd,
            List<TrafficMeter.Second> after) {
        add(phase + ".mend_peak_bytes_out", "B/s", max(after, TrafficMeter.Second::maxOfMember));
        add(phase + ".mend_peak_bytes_all", "B/s", max(after, TrafficMeter.Second::all));
        add(phase + ".mend_peak_bytes_far", "B/s", max(after, TrafficMeter.Second::crossRegion));
        add(
                phase + ".cut_peak_bytes_out",
                "B/s",
                max(untilPartitionEnd, TrafficMeter.Second::maxOfMember));
    }

    private void addTrafficCourses(
            String title, List<TrafficMeter.Second> seconds, double fromS, double toS) {
        Map<String, List<double[]>> busiest = new LinkedHashMap<>();
        busiest.put(
                "most of a member", TrafficMeter.points(seconds, TrafficMeter.Second::maxOfMember));
        outcome.courses()
                .add(
                        new TrialOutcome.TimeSeries(
                                title + ": sent by the busiest member",
                                "B/s",
                                fromS,
                                toS,
                                busiest));
        Map<String, List<double[]>> all = new LinkedHashMap<>();
        all.put("all", TrafficMeter.points(seconds, TrafficMeter.Second::all));
        all.put(
                "to the other region",
                TrafficMeter.points(seconds, TrafficMeter.Second::crossRegion));
        outcome.courses()
                .add(new TrialOutcome.TimeSeries(title + ": sent by all", "B/s", fromS, toS, all));
    }

    /**
     * Adds the time from the end of the partition until the traffic of all members stays close to
     * that before the partition.
     */
    private void addQuietTime(
            String phase, List<TrafficMeter.Second> before, List<TrafficMeter.Second> after) {
        double usual = before.stream().mapToLong(TrafficMeter.Second::all).average().orElse(0);
        int quiet = after.size();
        while (quiet > 0 && after.get(quiet - 1).all() <= usual * QUIET_TRAFFIC_RATIO) {
            quiet--;
        }
        if (quiet < after.size()) {
            add(phase + ".quiet", "s", quiet);
        }
    }

    /** Samples the views on each side over time. */
    private final class ViewSampler {
        final double partitionStartMs;
        final Map<String, List<SideSample>> samples = new LinkedHashMap<>();
        final List<Double> sampleTimesMs = new ArrayList<>();
        double separatedAfterMs = Double.NaN;
        double nextSampleMs;

        ViewSampler(double cutMs) {
            this.partitionStartMs = cutMs;
            nextSampleMs = cutMs;
            REGIONS.forEach(region -> samples.put(region, new ArrayList<>()));
        }

        void sample() {
            if (Double.isNaN(separatedAfterMs)
                    && REGIONS.stream().allMatch(RegionTrial.this::hasConverged)) {
                separatedAfterMs = nowMs - partitionStartMs;
            }
            if (nowMs >= nextSampleMs) {
                nextSampleMs = nowMs + SAMPLE_INTERVAL_MS;
                sampleTimesMs.add(nowMs);
                samples.forEach((region, all) -> all.add(RegionTrial.this.sampleSide(region)));
            }
        }

        /** Adds the figures of the partition itself. */
        void addFigures(String phase) {
            if (Double.isNaN(separatedAfterMs)) {
                outcome.findings()
                        .add(
                                "size "
                                        + setting.size()
                                        + ", seed "
                                        + setting.seed()
                                        + ": the sides never had one view each while "
                                        + phase
                                        + " lasted");
            } else {
                add(phase + ".apart", "s", separatedAfterMs / 1000);
            }
            for (String region : REGIONS) {
                List<SideSample> all = samples.get(region);
                double small = places.in(region).size();
                add(
                        phase + "." + region + ".entries_most",
                        "count",
                        all.stream().mapToDouble(SideSample::maxEntries).max().orElse(0));
                add(
                        phase + "." + region + ".more_views",
                        "s",
                        all.stream().filter(side -> side.views() > 1).count()
                                * SAMPLE_INTERVAL_MS
                                / 1000);
                addFirstTime(
                        phase + "." + region + ".forgotten",
                        all,
                        side -> side.maxEntries() <= small);
                addFirstTime(
                        phase + "." + region + ".majority_no", all, side -> side.majority() == 0);
                addFirstTime(
                        phase + "." + region + ".majority_yes_last",
                        all,
                        side ->
                                side.majority() == 1
                                        && side.present() <= small
                                        && all.indexOf(side) >= lastWithoutMajority(all));
            }
        }

        /** The index of the last sample in which some member saw no majority. */
        private static int lastWithoutMajority(List<SideSample> all) {
            int last = 0;
            for (int i = 0; i < all.size(); i++) {
                last = all.get(i).majority() < 1 ? i : last;
            }
            return last;
        }

        private void addFirstTime(String key, List<SideSample> all, Predicate<SideSample> is) {
            for (int i = 0; i < all.size(); i++) {
                if (is.test(all.get(i))
                        && sampleTimesMs.get(i) > partitionStartMs + SAMPLE_INTERVAL_MS / 2) {
                    add(key, "s", (sampleTimesMs.get(i) - partitionStartMs) / 1000);
                    return;
                }
            }
        }

        void addCourses(String title, double from, double to) {
            addCourse(title + ": views on each side", "views", from, to, SideSample::views);
            addCourse(
                    title + ": present, mean of " + SAMPLED_MEMBERS + " on each side",
                    "members",
                    from,
                    to,
                    SideSample::present);
            addCourse(title + ": entries held, mean", "entries", from, to, SideSample::entries);
            addCourse(title + ": part that says majority", "part", from, to, SideSample::majority);
        }

        private void addCourse(
                String title,
                String unit,
                double from,
                double to,
                Function<SideSample, Number> of) {
            Map<String, List<double[]>> lines = new LinkedHashMap<>();
            samples.forEach(
                    (region, all) -> {
                        List<double[]> points = new ArrayList<>();
                        for (int i = 0; i < all.size(); i++) {
                            points.add(
                                    new double[] {
                                        sampleTimesMs.get(i) / 1000,
                                        of.apply(all.get(i)).doubleValue()
                                    });
                        }
                        lines.put(region, points);
                    });
            outcome.courses().add(new TrialOutcome.TimeSeries(title, unit, from, to, lines));
        }
    }

    /** Measures how long processes that start during the partition take to see their own side. */
    private final class JoinTimes {
        /** By member, when its process started that has not joined yet. */
        private final Map<Integer, Double> pendingJoins = new LinkedHashMap<>();

        private final Map<String, List<Double>> joinTimes = new LinkedHashMap<>();
        private final Map<Integer, Long> processNumbers = new HashMap<>();
        private int abandoned;

        /** Called when a restart is due; two faults of one member may end in one start. */
        void onStarted(int member) {
            VirtualFleet.Node node = fleet.nodes().get(member);
            Long before = processNumbers.put(member, node.processNumber);
            if (node.isRunning() && (before == null || before != node.processNumber)) {
                pendingJoins.put(member, fleet.elapsedMs());
            }
        }

        void checkJoined() {
            pendingJoins
                    .entrySet()
                    .removeIf(
                            each -> {
                                VirtualFleet.Node node = fleet.nodes().get(each.getKey());
                                if (!node.isRunning()) {
                                    // It ended again before it had joined.
                                    abandoned++;
                                    return true;
                                }
                                String region = places.of(node.number).region();
                                boolean joined = seesOwnSide(node, region);
                                if (joined) {
                                    joinTimes
                                            .computeIfAbsent(region, name -> new ArrayList<>())
                                            .add((nowMs - each.getValue()) / 1000);
                                }
                                return joined;
                            });
        }

        /** Whether it sees its own side alive, but for those that are restarting at the moment. */
        private boolean seesOwnSide(VirtualFleet.Node node, String region) {
            long alive =
                    node.membership.view(node.localTimeMs()).members().stream()
                            .map(MembershipView.Member::update)
                            .filter(update -> update.state() == MemberState.ALIVE)
                            .filter(
                                    update ->
                                            places.of(memberNumber(update.name()))
                                                    .region()
                                                    .equals(region))
                            .count();
            return alive >= places.in(region).size() * 0.9;
        }

        void addFigures(String phase) {
            joinTimes.forEach(
                    (region, all) -> {
                        List<Double> sorted = all.stream().sorted().toList();
                        outcome.figures()
                                .add(
                                        new TrialOutcome.Figure(
                                                phase + "." + region + ".joined",
                                                "s",
                                                setting.size(),
                                                sorted.get(sorted.size() / 2),
                                                sorted.get(0),
                                                sorted.get(sorted.size() - 1),
                                                sorted.size()));
                    });
            Map<String, Long> left =
                    pendingJoins.keySet().stream()
                            .collect(
                                    Collectors.groupingBy(
                                            member -> places.of(member).region(),
                                            Collectors.counting()));
            left.forEach(
                    (region, count) ->
                            outcome.findings()
                                    .add(
                                            "size "
                                                    + setting.size()
                                                    + ", seed "
                                                    + setting.seed()
                                                    + ": "
                                                    + count
                                                    + " processes that started in "
                                                    + region
                                                    + " during "
                                                    + phase
                                                    + " did not see their side before the mend"));
            if (abandoned > 0) {
                add(phase + ".struck_again", "count", abandoned);
            }
        }
    }
}
