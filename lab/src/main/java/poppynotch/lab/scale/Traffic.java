package poppynotch.lab.scale;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import poppynotch.lab.scale.HollowAnswers.Counters;
import poppynotch.lab.scale.HollowAnswers.Stats;

/**
 * The worst second of each hollow member, of what it sent. It is looked at once a second, so what
 * is called a second is the time between two looks, which is one or a little more.
 */
final class Traffic {

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Double> worst = new TreeMap<>();
    private double worstOfAll;
    private double lastOfAll = Double.POSITIVE_INFINITY;
    private Stats last;
    private long lastNanos;

    /** Takes the counters at a time by any monotonic clock. */
    void look(Stats now, long nanos) {
        if (last != null && nanos > lastNanos) {
            double seconds = (nanos - lastNanos) / (double) SECOND_NANOS;
            double all = 0;
            for (Counters member : now.members().values()) {
                double rate = since(last.members().get(member.name()), member.bytesOut()) / seconds;
                worst.merge(member.name(), rate, Math::max);
                all += rate;
            }
            worstOfAll = Math.max(worstOfAll, all);
            lastOfAll = all;
        }
        last = now;
        lastNanos = nanos;
    }

    /** A member that was started anew counts from 0 again. */
    private static long since(Counters before, long now) {
        return before == null || before.bytesOut() > now ? now : now - before.bytesOut();
    }

    /** Looks if the last look was a second ago or longer. */
    void lookIfDue(ScaleFleet fleet) throws IOException {
        if (last == null || System.nanoTime() - lastNanos >= SECOND_NANOS) {
            look(fleet.stats(), System.nanoTime());
        }
    }

    /** Bytes a second of each member in its worst second. */
    Map<String, Double> worst() {
        return worst;
    }

    /**
     * Bytes a second of all hollow members together, in the last second; infinite before there is
     * one.
     */
    double lastOfAll() {
        return lastOfAll;
    }

    /** Bytes a second of all hollow members together, in the worst second. */
    double worstOfAll() {
        return worstOfAll;
    }
}
