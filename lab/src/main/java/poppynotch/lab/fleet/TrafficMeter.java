package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;

/**
 * Measures the traffic of the members of a {@link VirtualFleet}: rates since {@link #begin}, and
 * sums by the second. Used on the thread that runs the fleet.
 */
final class TrafficMeter {

    private static final double LOW_PERCENTILE = 1;
    private static final double HIGH_PERCENTILE = 99;

    /**
     * A rate per second over all members.
     *
     * @param low the 1st percentile of the members
     * @param high the 99th percentile
     */
    record Rate(double mean, double low, double high, double max) {}

    /**
     * Bytes sent in one second: by all members, by the member that sent most, and to another
     * region.
     */
    record Second(double at, long all, long maxOfMember, long crossRegion) {}

    private static final List<ToLongFunction<VirtualFleet.Traffic>> METRIC_READERS =
            List.of(
                    t -> t.bytesOut,
                    t -> t.messagesOut,
                    t -> t.bytesIn,
                    t -> t.messagesIn,
                    t -> t.crossRegionBytesOut,
                    t -> t.crossRegionMessagesOut);

    /** A counter of a member. */
    enum Metric {
        BYTES_OUT,
        MESSAGES_OUT,
        BYTES_IN,
        MESSAGES_IN,
        CROSS_REGION_BYTES_OUT,
        CROSS_REGION_MESSAGES_OUT
    }

    private final VirtualFleet fleet;
    private double fromMs;
    private long[][] from;
    private long[] bytes;
    private long[] far;

    TrafficMeter(VirtualFleet fleet) {
        this.fleet = fleet;
        begin();
        bytes = row(Metric.BYTES_OUT);
        far = row(Metric.CROSS_REGION_BYTES_OUT);
    }

    private long[] row(Metric of) {
        return fleet.nodes().stream()
                .mapToLong(node -> METRIC_READERS.get(of.ordinal()).applyAsLong(node.traffic))
                .toArray();
    }

    /** Starts the measurement of rates. */
    void begin() {
        fromMs = fleet.elapsedMs();
        from = new long[Metric.values().length][];
        for (Metric of : Metric.values()) {
            from[of.ordinal()] = row(of);
        }
    }

    /** The rate per second since {@link #begin}, over all members. */
    Rate rate(Metric of) {
        double seconds = (fleet.elapsedMs() - fromMs) / 1000;
        long[] now = row(of);
        DescriptiveStatistics all = new DescriptiveStatistics();
        for (int i = 0; i < now.length; i++) {
            all.addValue((now[i] - from[of.ordinal()][i]) / seconds);
        }
        return new Rate(
                all.getMean(),
                all.getPercentile(LOW_PERCENTILE),
                all.getPercentile(HIGH_PERCENTILE),
                all.getMax());
    }

    /** The rate per second of one member since {@link #begin}. */
    double rate(Metric of, int member) {
        return (row(of)[member] - from[of.ordinal()][member])
                / ((fleet.elapsedMs() - fromMs) / 1000);
    }

    /** The traffic since the previous call, which must have been one second ago. */
    Second second() {
        long[] nowBytes = row(Metric.BYTES_OUT);
        long[] nowFar = row(Metric.CROSS_REGION_BYTES_OUT);
        long all = 0;
        long most = 0;
        long farAll = 0;
        for (int i = 0; i < nowBytes.length; i++) {
            all += nowBytes[i] - bytes[i];
            most = Math.max(most, nowBytes[i] - bytes[i]);
            farAll += nowFar[i] - far[i];
        }
        bytes = nowBytes;
        far = nowFar;
        return new Second(fleet.elapsedMs() / 1000, all, most, farAll);
    }

    /** Points for a plot: the maximum of each ten seconds. */
    static List<double[]> points(List<Second> seconds, ToDoubleFunction<Second> of) {
        List<double[]> points = new ArrayList<>();
        for (int i = 0; i < seconds.size(); i += 10) {
            double max = 0;
            for (Second each : seconds.subList(i, Math.min(seconds.size(), i + 10))) {
                max = Math.max(max, of.applyAsDouble(each));
            }
            points.add(new double[] {seconds.get(i).at(), max});
        }
        return points;
    }
}
