package poppynotch.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import poppynotch.wire.TenantUsage;

/**
 * Makes of the sums that core processes tell what other edges have used from word to word. Sums of
 * two core processes, or of two lives of one, can't be compared: one connection is followed while
 * it answers. For the others it is kept what they had told by the latest word, so that one of them
 * can go on from there. It does no I/O and is told the time.
 */
public final class QuotaUsageTracker {

    /** Where it goes. */
    public interface Sink {
        /**
         * What other edges have used since the word before.
         *
         * @param upToMs the word covers what was used until then
         * @param reporting how many edges' use it covers
         * @param continuous nothing is missing between this word and the one before
         */
        void word(long upToMs, Map<String, Long> others, int reporting, boolean continuous);
    }

    /** What one connection has told. */
    private static final class Source {
        /** Tenants' sums, and what this edge had told of its own use then. */
        final Map<String, Long> totals = new HashMap<>();

        Map<String, Long> reported = Map.of();

        /** The use of others by the latest word that was passed on; null before the first. */
        Map<String, Long> othersBefore;

        long heardMs = Long.MIN_VALUE / 2;

        boolean hasTold() {
            return heardMs >= 0;
        }

        Map<String, Long> others() {
            Map<String, Long> others = new HashMap<>();
            totals.forEach(
                    (tenant, total) ->
                            others.put(tenant, total - reported.getOrDefault(tenant, 0L)));
            return others;
        }

        Map<String, Long> othersSince() {
            Map<String, Long> since = new HashMap<>();
            others().forEach(
                            (tenant, amount) -> {
                                long more = amount - othersBefore.getOrDefault(tenant, 0L);
                                if (more != 0) {
                                    since.put(tenant, more);
                                }
                            });
            return since;
        }
    }

    private final Sink sink;
    private final long silenceMs;
    private final Map<Integer, Source> sources = new HashMap<>();
    private Source followed;

    /**
     * A feed that follows another connection once the followed one was silent for {@code
     * silenceMs}.
     */
    QuotaUsageTracker(Sink sink, long silenceMs) {
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

    /**
     * A connection tells sums.
     *
     * @param upToMs they cover what was used until then
     * @param reporting how many edges' use they cover
     * @param reported what this edge had told on that connection
     */
    void told(
            long nowMs,
            long upToMs,
            int place,
            int reporting,
            List<TenantUsage> sums,
            Map<String, Long> reported) {
        Source source = sources.computeIfAbsent(place, key -> new Source());
        sums.forEach(sum -> source.totals.put(sum.tenant(), sum.amount()));
        source.reported = Map.copyOf(reported);
        source.heardMs = nowMs;
        boolean others = followed != null && followed != source;
        if (others && nowMs - followed.heardMs <= silenceMs) {
            return;
        }
        followed = source;
        boolean continuous = source.othersBefore != null;
        sink.word(upToMs, continuous ? source.othersSince() : Map.of(), reporting, continuous);
        sources.values().stream()
                .filter(Source::hasTold)
                .forEach(known -> known.othersBefore = known.others());
    }
}
