package poppynotch.lab.fleet;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.SwimSettings;

/**
 * Measures membership on virtual time: how soon failures are detected, how many detections are
 * false, and what membership costs in traffic, CPU time and memory. Each static method runs its
 * fleets to the end before it returns.
 */
public final class Measurement {

    /** The fleet has started and converged by then. */
    private static final double SETTLE_MS = 30_000;

    /** One member is killed per interval; all detect it long before the next. */
    private static final double KILL_INTERVAL_MS = 20_000;

    private static final double CUT_MS = 40_000;
    private static final double MAX_HEAL_MS = 120_000;
    private static final double HEAL_STEP_MS = 100;

    /**
     * The figures of one fleet size and loss rate.
     *
     * @param firstMs from the end of a process until the first member declares it dead: median,
     *     99th percentile, maximum
     * @param allMs the same until all members have declared it dead
     * @param falseDeaths how often a member declared a running one dead, per member-hour
     * @param bytes sent per member and second, without UDP and IP headers
     * @param cpu fraction of a core per member
     * @param memory bytes of state per member
     */
    public record Row(
            int members,
            double loss,
            long[] firstMs,
            long[] allMs,
            double falseDeaths,
            double bytes,
            double cpu,
            long memory) {

        /** The row as cells of a printed table. */
        public List<String> cells() {
            return List.of(
                    String.valueOf(members),
                    Math.round(loss * 100) + " %",
                    seconds(firstMs),
                    seconds(allMs),
                    String.format(Locale.ROOT, "%.5f", falseDeaths),
                    String.format(Locale.ROOT, "%.0f", bytes),
                    String.format(Locale.ROOT, "%.2f %%", cpu * 100),
                    String.format(Locale.ROOT, "%.2f MB", memory / 1e6));
        }
    }

    /** The headings of the table. */
    public static final List<String> HEAD =
            List.of(
                    "members",
                    "loss",
                    "first knows, s",
                    "all know, s",
                    "false deaths a member-hour",
                    "bytes/s",
                    "core",
                    "memory");

    private Measurement() {}

    static String seconds(long[] quantiles) {
        return String.format(
                Locale.ROOT,
                "%.1f / %.1f / %.1f",
                quantiles[0] / 1e3,
                quantiles[1] / 1e3,
                quantiles[2] / 1e3);
    }

    private static long[] quantiles(Histogram times) {
        return new long[] {
            times.getValueAtPercentile(50), times.getValueAtPercentile(99), times.getMaxValue()
        };
    }

    /**
     * Kills members one after the other and measures how long their detection takes, and how often
     * a running member is declared dead.
     */
    public static Row deaths(int members, double loss, int kills, long seed) {
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < kills; i++) {
            // Never a seed, and restarted before the next kill.
            int who = 2 + (int) Math.floorMod(seed + 31L * i, (long) members - 2);
            faults.add(
                    new Fault(
                            SETTLE_MS + i * KILL_INTERVAL_MS,
                            Fault.Kind.KILL,
                            List.of(who),
                            KILL_INTERVAL_MS * 0.75,
                            0));
        }
        FleetPlan plan = new FleetPlan(members, seed, 5000, 2, loss, List.copyOf(faults));
        Histogram first = new Histogram(3);
        Histogram all = new Histogram(3);
        int[] mistaken = new int[1];
        Map<String, Integer> knowing = new HashMap<>();
        VirtualFleet[] fleet = new VirtualFleet[1];
        Runtime.getRuntime().gc();
        long heapBefore = usedHeapBytes();
        fleet[0] =
                new VirtualFleet(
                        plan,
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {
                            if (is.state() != MemberState.DEAD || now < SETTLE_MS) {
                                return;
                            }
                            int killed = (int) ((now - SETTLE_MS) / KILL_INTERVAL_MS);
                            boolean right =
                                    killed < kills
                                            && is.name()
                                                    .equals("m" + faults.get(killed).who().get(0));
                            if (!right) {
                                mistaken[0]++;
                                return;
                            }
                            int known = knowing.merge(is.name() + "@" + killed, 1, Integer::sum);
                            long after = Math.round(now - faults.get(killed).at());
                            if (known == 1) {
                                first.recordValue(after);
                            }
                            if (known == members - 1) {
                                all.recordValue(after);
                            }
                        });
        fleet[0].runUntil(SETTLE_MS);
        long bytesBefore = fleet[0].bytesSent();
        long cpuBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        double end = SETTLE_MS + Math.max(kills, 1) * KILL_INTERVAL_MS;
        fleet[0].runUntil(end);
        double memberSeconds = members * (end - SETTLE_MS) / 1000;
        double cpu =
                (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuBefore) / 1e9;
        Runtime.getRuntime().gc();
        long memory = Math.max(0, usedHeapBytes() - heapBefore) / members;
        if (all.getTotalCount() < first.getTotalCount()) {
            // Some failure was not detected by all before the next one: it counts with the
            // interval.
            all.recordValue((long) KILL_INTERVAL_MS);
        }
        return new Row(
                members,
                loss,
                quantiles(first),
                quantiles(all),
                mistaken[0] / (memberSeconds / 3600),
                (fleet[0].bytesSent() - bytesBefore) / memberSeconds,
                cpu / memberSeconds,
                memory);
    }

    private static long usedHeapBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /**
     * Counts the declarations of death in fleets without failures, over virtual hours in which
     * datagrams are lost: all are false.
     */
    public static long falseDeaths(int members, double loss, double hours, int fleets, long seed) {
        return IntStream.range(0, fleets)
                .parallel()
                .mapToLong(
                        each -> {
                            long[] mistaken = new long[1];
                            VirtualFleet fleet =
                                    new VirtualFleet(
                                            new FleetPlan(
                                                    members, seed + each, 5000, 2, loss, List.of()),
                                            SwimSettings.DEFAULT,
                                            false,
                                            Interposer.NONE,
                                            (now, at, before, is) -> {
                                                if (is.state() == MemberState.DEAD) {
                                                    mistaken[0]++;
                                                }
                                            });
                            fleet.runUntil(hours * 3_600_000);
                            return mistaken[0];
                        })
                .sum();
    }

    /** From the end of a partition into halves until all views have converged, in milliseconds. */
    public static double heal(int members, long seed) {
        List<Integer> half = IntStream.range(0, members / 2).map(i -> 2 * i).boxed().toList();
        Fault cut = new Fault(SETTLE_MS, Fault.Kind.PARTITION, half, CUT_MS, 0);
        VirtualFleet fleet =
                new VirtualFleet(
                        new FleetPlan(members, seed, 5000, 2, 0, List.of(cut)),
                        SwimSettings.DEFAULT,
                        false,
                        Interposer.NONE,
                        (now, at, before, is) -> {});
        fleet.runUntil(cut.endsAt());
        while (!fleet.hasConverged() && fleet.elapsedMs() < cut.endsAt() + MAX_HEAL_MS) {
            fleet.runUntil(fleet.elapsedMs() + HEAL_STEP_MS);
        }
        return fleet.elapsedMs() - cut.endsAt();
    }

    /**
     * From the first start until the views of all members have converged, in milliseconds; the
     * second seed never starts.
     */
    public static double join(int members, long seed) {
        List<Fault> dead = List.of(new Fault(1, Fault.Kind.KILL, List.of(1), 0, 0));
        VirtualFleet fleet =
                new VirtualFleet(
                        new FleetPlan(members, seed, 5000, 2, 0, dead),
                        SwimSettings.DEFAULT,
                        false,
                        Interposer.NONE,
                        (now, at, before, is) -> {});
        fleet.runUntil(5000);
        while (!fleet.hasConverged() && fleet.elapsedMs() < MAX_HEAL_MS) {
            fleet.runUntil(fleet.elapsedMs() + HEAL_STEP_MS);
        }
        return fleet.elapsedMs();
    }
}
