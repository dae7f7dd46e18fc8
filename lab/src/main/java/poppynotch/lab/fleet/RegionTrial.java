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
import poppynotch.lab.virtual.VirtualTime;

/**
 * A fleet of two regions and five zones on the virtual clock: what it costs idle and on an ordinary
 * day, what happens when a rack, a zone or a region is gone, and when the regions lose each other
 * for long.
 */
public final class RegionTrial {

    private static final double STEP_MS = 100;
    private static final double SECOND_MS = 1000;
    private static final double START_OVER_MS = 5000;
    private static final double LONGEST_START_MS = 300_000;

    /** Whatever a start or a fault has left to tell is told by then. */
    private static final double QUIET_MS = 60_000;

    /** Quiet is this much above what was sent before, at most. */
    private static final double QUIET_PART = 1.25;

    private static final double IDLE_MS = 120_000;
    private static final double DAY_MS = 300_000;
    private static final double RESTART_MS = 5000;
    private static final double FAILED_MS = 60_000;

    /** Longer than the bound of all promises; what is not there by then is a finding. */
    private static final double LONGEST_MS = 600_000;

    /** The plan's day: so many restarts and failures of so many. */
    private static final int PLANNED = 430;

    private static final int RESTARTS = 110;
    private static final int FAILURES = 2;

    /** Views of so many members on each side are looked into, this often. */
    private static final int LOOKED_AT = 12;

    private static final double LOOK_MS = 10_000;
    private static final int SEEDS_ONE_REGION = 3;
    private static final int SEEDS_EACH_ZONE = 5;
    private static final List<String> REGIONS = List.of("r1", "r2");

    /**
     * What a trial is like.
     *
     * @param size members
     * @param seedsInBoth a seed in each zone, else three in the larger region alone
     * @param shared whether verdicts and loans of allowances ride along
     * @param cutMs how long the regions are apart
     */
    public record Setting(
            int size,
            long seed,
            boolean seedsInBoth,
            boolean shared,
            double cutMs,
            Places.Delays delays) {}

    private final Setting setting;
    private final Places places;
    private final VirtualTime time = new VirtualTime();
    private final VirtualFleet fleet;
    private final SplittableRandom random;
    private final TrafficMeter meter;
    private final TrialOutcome outcome = new TrialOutcome();

    /** Played until then; the clock itself stands at what happened last. */
    private double nowMs;

    private final Map<Integer, SharingLoad> loads = new HashMap<>();
    private double mendedMs = Double.POSITIVE_INFINITY;
    private double contactMs = Double.NaN;

    private RegionTrial(Setting setting) {
        this.setting = setting;
        random = new SplittableRandom(setting.seed() * 131 + 7);
        places = Places.planned(setting.size(), setting.delays());
        int seeds = setting.seedsInBoth() ? SEEDS_EACH_ZONE : SEEDS_ONE_REGION;
        FleetPlan plan =
                new FleetPlan(setting.size(), setting.seed(), START_OVER_MS, seeds, 0, List.of());
        Function<VirtualFleet.Node, PiggybackPayload> riders =
                node -> {
                    if (!setting.shared()) {
                        return PiggybackPayload.NONE;
                    }
                    SharingLoad load = new SharingLoad(node, time, random.split(), setting.size());
                    SharingLoad before = loads.put(node.number, load);
                    if (before != null) {
                        before.end();
                    }
                    return load.riders();
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
                                                    != places.region(number(is.name()));
                            if (now >= mendedMs && Double.isNaN(contactMs) && far) {
                                contactMs = now;
                            }
                        },
                        riders,
                        time,
                        places);
        meter = new TrafficMeter(fleet);
    }

    /** What it costs idle. */
    public static TrialOutcome idle(Setting setting) {
        RegionTrial trial = new RegionTrial(setting);
        trial.start();
        trial.idle(setting.shared() ? "sharing" : "membership");
        return trial.outcome;
    }

    /** Idle, an ordinary day pressed together, and a rack, a zone and each region gone and back. */
    public static TrialOutcome days(Setting setting) {
        RegionTrial trial = new RegionTrial(setting);
        double started = trial.start();
        if (!Double.isNaN(started)) {
            trial.add("start.one_view", "s", started);
        }
        trial.idle("membership");
        trial.day();
        trial.gone("rack", "z1/0");
        trial.gone("zone", "z1");
        trial.gone("region_small", "r2");
        trial.gone("region", "r1");
        return trial.outcome;
    }

    /**
     * The regions apart.
     *
     * @param phase the first word of the figures' keys
     * @param restarts whether members are restarted on both sides meanwhile, at a day's rate in the
     *     hour
     */
    public static TrialOutcome apart(Setting setting, String phase, boolean restarts) {
        RegionTrial trial = new RegionTrial(setting);
        trial.start();
        trial.apart(phase, restarts);
        return trial.outcome;
    }

    private void add(String key, String unit, double value) {
        outcome.add(key, unit, setting.size(), value);
    }

    private void pass(double ms) {
        nowMs += ms;
        fleet.runUntil(nowMs);
    }

    /** Starts all; returns when they saw one view, in seconds from the first start, or NaN. */
    private double start() {
        pass(START_OVER_MS);
        double started = (START_OVER_MS + oneView(LONGEST_START_MS)) / 1000;
        if (Double.isNaN(started)) {
            finding("the start", LONGEST_START_MS);
        }
        pass(QUIET_MS);
        return started;
    }

    private void finding(String after, double ms) {
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

    /** Plays on until there is one view; how long that took, or NaN. */
    private double oneView(double longestMs) {
        double from = nowMs;
        while (!fleet.hasConverged()) {
            if (nowMs - from >= longestMs) {
                return Double.NaN;
            }
            pass(STEP_MS);
        }
        return nowMs - from;
    }

    private void idle(String role) {
        meter.begin();
        long cpu = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        pass(IDLE_MS);
        double core = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpu) / 1e9;
        rates("idle." + role);
        add("idle." + role + ".core", "core", core / (setting.size() * IDLE_MS / 1000));
        add("idle." + role + ".entries", "count", entries(fleet.nodes().get(0)));
    }

    private void rates(String key) {
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

    private static int number(String member) {
        return Integer.parseInt(member.substring(1));
    }

    private static int entries(VirtualFleet.Node node) {
        return node.membership.view(node.localTimeMs()).members().size();
    }

    /** When members are struck, for a day's count of restarts and failures, drawn over a time. */
    private List<Fault> struck(double fromMs, double lastsMs) {
        int restarts = Math.max(1, Math.round((float) RESTARTS * setting.size() / PLANNED));
        int failures = Math.max(1, Math.round((float) FAILURES * setting.size() / PLANNED));
        List<Fault> all = new ArrayList<>();
        for (int i = 0; i < restarts + failures; i++) {
            boolean fails = i >= restarts;
            all.add(
                    new Fault(
                            fromMs + random.nextDouble() * lastsMs,
                            fails ? Fault.Kind.KILL : Fault.Kind.LEAVE,
                            List.of(random.nextInt(setting.size())),
                            fails ? FAILED_MS : RESTART_MS,
                            0));
        }
        all.forEach(fault -> time.after(fault.at() - fleet.elapsedMs(), () -> fleet.inject(fault)));
        return all;
    }

    private void day() {
        meter.begin();
        struck(nowMs, DAY_MS);
        List<TrafficMeter.Second> seconds = play(DAY_MS);
        rates("day.membership");
        add(
                "day.membership.peak_bytes_out",
                "B/s",
                most(seconds, TrafficMeter.Second::maxOfMember));
        pass(FAILED_MS);
        settle("day");
        pass(QUIET_MS);
    }

    private static double most(
            List<TrafficMeter.Second> seconds, ToLongFunction<TrafficMeter.Second> of) {
        return seconds.stream().mapToLong(of).max().orElse(0);
    }

    private List<TrafficMeter.Second> play(double ms) {
        List<TrafficMeter.Second> seconds = new ArrayList<>();
        meter.second();
        for (double at = 0; at < ms; at += SECOND_MS) {
            pass(SECOND_MS);
            seconds.add(meter.second());
        }
        return seconds;
    }

    private void settle(String phase) {
        double ms = oneView(LONGEST_MS);
        if (Double.isNaN(ms)) {
            finding(phase, LONGEST_MS);
        } else {
            add(phase + ".one_view", "s", ms / 1000);
        }
    }

    /** All at a place end at once without a word, and start again at once. */
    private void gone(String phase, String where) {
        List<Integer> who = places.in(where);
        fleet.inject(new Fault(nowMs, Fault.Kind.KILL, who, 0, 0));
        double known = oneView(LONGEST_MS);
        if (Double.isNaN(known)) {
            finding(phase + " gone", LONGEST_MS);
        } else {
            add(phase + ".known", "s", known / 1000);
        }
        pass(QUIET_MS);
        who.forEach(each -> fleet.nodes().get(each).start());
        double back = oneView(LONGEST_MS);
        if (Double.isNaN(back)) {
            finding(phase + " back", LONGEST_MS);
        } else {
            add(phase + ".back_one_view", "s", back / 1000);
        }
        pass(QUIET_MS);
    }

    /** What the looked-at members of a side said at one moment. */
    private record Side(long views, double present, double entries, double most, double majority) {}

    private Side look(String region) {
        List<VirtualFleet.Node> all =
                places.in(region).stream()
                        .map(fleet.nodes()::get)
                        .filter(VirtualFleet.Node::isRunning)
                        .toList();
        long views =
                all.stream().mapToLong(node -> node.membership.viewDigest()).distinct().count();
        int step = Math.max(1, all.size() / LOOKED_AT);
        List<MembershipView> looked = new ArrayList<>();
        for (int i = 0; i < all.size(); i += step) {
            looked.add(all.get(i).membership.view(all.get(i).localTimeMs()));
        }
        return new Side(
                views,
                looked.stream().mapToLong(MembershipView::presentCount).average().orElse(0),
                looked.stream().mapToInt(view -> view.members().size()).average().orElse(0),
                looked.stream().mapToInt(view -> view.members().size()).max().orElse(0),
                looked.stream().filter(MembershipView::majorityPresent).count()
                        / (double) Math.max(1, looked.size()));
    }

    private boolean isOneView(String region) {
        return fleet.hasConverged(node -> places.of(node.number).region().equals(region));
    }

    private void cut(boolean isCut) {
        fleet.setRegionPartitioned("r1", "r2", isCut);
        fleet.setRegionPartitioned("r2", "r1", isCut);
    }

    private void apart(String phase, boolean restarts) {
        List<TrafficMeter.Second> before = play(LOOK_MS);
        double from = nowMs;
        double until = from + setting.cutMs();
        cut(true);
        meter.begin();
        Joins joins = new Joins();
        if (restarts) {
            // The last are back and known before the mend.
            List<Fault> struck = struck(from, Math.max(SECOND_MS, setting.cutMs() - 2 * FAILED_MS));
            struck.forEach(
                    fault ->
                            time.after(
                                    fault.at() + fault.lasts() + 1 - fleet.elapsedMs(),
                                    () -> joins.started(fault.who().get(0))));
        }
        Looks looks = new Looks(from);
        List<TrafficMeter.Second> seconds = new ArrayList<>(before);
        while (nowMs < until) {
            pass(Math.min(SECOND_MS, until - nowMs));
            seconds.add(meter.second());
            looks.look();
            joins.look();
        }
        looks.told(phase);
        joins.told(phase);
        rates(phase + ".membership");
        mendedMs = nowMs;
        cut(false);
        List<TrafficMeter.Second> after = new ArrayList<>();
        double oneView = Double.NaN;
        double quietFrom = Double.NaN;
        while (nowMs < mendedMs + LONGEST_MS && !(nowMs >= quietFrom + QUIET_MS)) {
            for (int step = 0; step < SECOND_MS / STEP_MS; step++) {
                pass(STEP_MS);
                if (Double.isNaN(oneView) && fleet.hasConverged()) {
                    oneView = nowMs - mendedMs;
                    quietFrom = nowMs;
                }
            }
            after.add(meter.second());
            looks.look();
        }
        seconds.addAll(after);
        if (Double.isNaN(oneView)) {
            finding(phase + " mended", LONGEST_MS);
        } else {
            add(phase + ".one_view", "s", oneView / 1000);
        }
        if (!Double.isNaN(contactMs)) {
            add(phase + ".contact", "s", (contactMs - mendedMs) / 1000);
        }
        quiet(phase, before, after);
        add(phase + ".mend_peak_bytes_out", "B/s", most(after, TrafficMeter.Second::maxOfMember));
        add(phase + ".mend_peak_bytes_all", "B/s", most(after, TrafficMeter.Second::all));
        add(phase + ".mend_peak_bytes_far", "B/s", most(after, TrafficMeter.Second::crossRegion));
        add(
                phase + ".cut_peak_bytes_out",
                "B/s",
                most(
                        seconds.subList(0, seconds.size() - after.size()),
                        TrafficMeter.Second::maxOfMember));
        String title = phase + ", " + setting.size() + " members";
        double begun = from / 1000;
        double ended = mendedMs / 1000;
        looks.courses(title, begun, ended);
        Map<String, List<double[]>> lines = new LinkedHashMap<>();
        lines.put(
                "most of a member", TrafficMeter.points(seconds, TrafficMeter.Second::maxOfMember));
        outcome.courses()
                .add(
                        new TrialOutcome.Course(
                                title + ": sent by the busiest member",
                                "B/s",
                                begun,
                                ended,
                                lines));
        Map<String, List<double[]>> all = new LinkedHashMap<>();
        all.put("all", TrafficMeter.points(seconds, TrafficMeter.Second::all));
        all.put(
                "to the other region",
                TrafficMeter.points(seconds, TrafficMeter.Second::crossRegion));
        outcome.courses()
                .add(new TrialOutcome.Course(title + ": sent by all", "B/s", begun, ended, all));
    }

    /**
     * From the mend until all together send hardly more than before the cut, for the rest of the
     * play.
     */
    private void quiet(
            String phase, List<TrafficMeter.Second> before, List<TrafficMeter.Second> after) {
        double usual = before.stream().mapToLong(TrafficMeter.Second::all).average().orElse(0);
        int quiet = after.size();
        while (quiet > 0 && after.get(quiet - 1).all() <= usual * QUIET_PART) {
            quiet--;
        }
        if (quiet < after.size()) {
            add(phase + ".quiet", "s", quiet);
        }
    }

    /** The views on each side over time. */
    private final class Looks {
        final double cutMs;
        final Map<String, List<Side>> sides = new LinkedHashMap<>();
        final List<Double> at = new ArrayList<>();
        double apartMs = Double.NaN;
        double nextMs;

        Looks(double cutMs) {
            this.cutMs = cutMs;
            nextMs = cutMs;
            REGIONS.forEach(region -> sides.put(region, new ArrayList<>()));
        }

        void look() {
            if (Double.isNaN(apartMs) && REGIONS.stream().allMatch(RegionTrial.this::isOneView)) {
                apartMs = nowMs - cutMs;
            }
            if (nowMs >= nextMs) {
                nextMs = nowMs + LOOK_MS;
                at.add(nowMs);
                sides.forEach((region, all) -> all.add(RegionTrial.this.look(region)));
            }
        }

        /** What was seen while the cut lasted. */
        void told(String phase) {
            if (Double.isNaN(apartMs)) {
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
                add(phase + ".apart", "s", apartMs / 1000);
            }
            for (String region : REGIONS) {
                List<Side> all = sides.get(region);
                double small = places.in(region).size();
                add(
                        phase + "." + region + ".entries_most",
                        "count",
                        all.stream().mapToDouble(Side::most).max().orElse(0));
                add(
                        phase + "." + region + ".more_views",
                        "s",
                        all.stream().filter(side -> side.views() > 1).count() * LOOK_MS / 1000);
                first(phase + "." + region + ".forgotten", all, side -> side.most() <= small);
                first(phase + "." + region + ".majority_no", all, side -> side.majority() == 0);
                first(
                        phase + "." + region + ".majority_yes_last",
                        all,
                        side ->
                                side.majority() == 1
                                        && side.present() <= small
                                        && all.indexOf(side) >= lastNo(all));
            }
        }

        /** After the last look at which somebody said no. */
        private static int lastNo(List<Side> all) {
            int last = 0;
            for (int i = 0; i < all.size(); i++) {
                last = all.get(i).majority() < 1 ? i : last;
            }
            return last;
        }

        private void first(String key, List<Side> all, Predicate<Side> is) {
            for (int i = 0; i < all.size(); i++) {
                if (is.test(all.get(i)) && at.get(i) > cutMs + LOOK_MS / 2) {
                    add(key, "s", (at.get(i) - cutMs) / 1000);
                    return;
                }
            }
        }

        void courses(String title, double from, double to) {
            course(title + ": views on each side", "views", from, to, Side::views);
            course(
                    title + ": present, mean of " + LOOKED_AT + " on each side",
                    "members",
                    from,
                    to,
                    Side::present);
            course(title + ": entries held, mean", "entries", from, to, Side::entries);
            course(title + ": part that says majority", "part", from, to, Side::majority);
        }

        private void course(
                String title, String unit, double from, double to, Function<Side, Number> of) {
            Map<String, List<double[]>> lines = new LinkedHashMap<>();
            sides.forEach(
                    (region, all) -> {
                        List<double[]> points = new ArrayList<>();
                        for (int i = 0; i < all.size(); i++) {
                            points.add(
                                    new double[] {
                                        at.get(i) / 1000, of.apply(all.get(i)).doubleValue()
                                    });
                        }
                        lines.put(region, points);
                    });
            outcome.courses().add(new TrialOutcome.Course(title, unit, from, to, lines));
        }
    }

    /** How long processes that start while the regions are apart take to see their own side. */
    private final class Joins {
        /** By member, when it started. */
        private final Map<Integer, Double> open = new LinkedHashMap<>();

        private final Map<String, List<Double>> took = new LinkedHashMap<>();
        private final Map<Integer, Long> processes = new HashMap<>();
        private int given;

        /** A process may have started; two faults of one member may end in one start. */
        void started(int member) {
            VirtualFleet.Node node = fleet.nodes().get(member);
            Long before = processes.put(member, node.processNumber);
            if (node.isRunning() && (before == null || before != node.processNumber)) {
                open.put(member, fleet.elapsedMs());
            }
        }

        void look() {
            open.entrySet()
                    .removeIf(
                            each -> {
                                VirtualFleet.Node node = fleet.nodes().get(each.getKey());
                                if (!node.isRunning()) {
                                    // Struck again before it had joined.
                                    given++;
                                    return true;
                                }
                                String region = places.of(node.number).region();
                                // All but those that are away for a moment.
                                boolean joined =
                                        node.membership.view(node.localTimeMs()).members().stream()
                                                        .filter(
                                                                member ->
                                                                        member.update().state()
                                                                                        == MemberState
                                                                                                .ALIVE
                                                                                && places.of(
                                                                                                number(
                                                                                                        member.update()
                                                                                                                .name()))
                                                                                        .region()
                                                                                        .equals(
                                                                                                region))
                                                        .count()
                                                >= places.in(region).size() * 0.9;
                                if (joined) {
                                    took.computeIfAbsent(region, name -> new ArrayList<>())
                                            .add((nowMs - each.getValue()) / 1000);
                                }
                                return joined;
                            });
        }

        void told(String phase) {
            took.forEach(
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
                    open.keySet().stream()
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
            if (given > 0) {
                add(phase + ".struck_again", "count", given);
            }
        }
    }
}
