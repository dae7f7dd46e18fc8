package poppynotch.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.wire.Usage;

/**
 * Passes the sums of what tenants use on to the quotas. Sums of two core processes, or of two lives
 * of one, can't be compared: one connection is followed while it answers, and the first sum of each
 * tenant that it gives is told as such. It does no I/O and is told the time.
 */
final class QuotaFeed {

    /** Where the sums go. */
    interface Sink {
        /** A sum; {@code first} where it can't be compared with what was told before. */
        void total(String tenant, long amount, long ownReported, boolean first);
    }

    /** What one connection has told. */
    private static final class Source {
        final Map<String, Long> totals = new HashMap<>();
        long heardMs;
    }

    private final Sink sink;
    private final long silenceMs;
    private final Map<Integer, Source> sources = new HashMap<>();
    private final Set<String> compared = new HashSet<>();
    private Source followed;

    /**
     * A feed that follows another connection once the followed one was silent for {@code
     * silenceMs}.
     */
    QuotaFeed(Sink sink, long silenceMs) {
        this.sink = sink;
        this.silenceMs = silenceMs;
    }

    /**
     * A connection begins, perhaps to another core process than the one before it in that place.
     */
    void begins(int place) {
        Source before = sources.put(place, new Source());
        if (before == followed) {
            followed = null;
        }
    }

    /** A connection tells sums; {@code reported} is what this edge had told on it. */
    void told(long nowMs, int place, List<Usage> sums, Map<String, Long> reported) {
        Source source = sources.computeIfAbsent(place, key -> new Source());
        source.heardMs = nowMs;
        sums.forEach(sum -> source.totals.put(sum.tenant(), sum.amount()));
        if (followed == null || followed != source && nowMs - followed.heardMs > silenceMs) {
            followed = source;
            compared.clear();
            source.totals.forEach((tenant, amount) -> pass(tenant, amount, reported));
        } else if (followed == source) {
            sums.forEach(sum -> pass(sum.tenant(), sum.amount(), reported));
        }
    }

    private void pass(String tenant, long amount, Map<String, Long> reported) {
        sink.total(tenant, amount, reported.getOrDefault(tenant, 0L), compared.add(tenant));
    }
}
