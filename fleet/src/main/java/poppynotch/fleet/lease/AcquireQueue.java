package poppynotch.fleet.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The requests that wait at the leader for one singleton role to become free: at most one for each
 * process. Owned by {@link LeaseService} and called on its thread; not thread-safe.
 */
final class AcquireQueue {

    /** The maximum number of requests; further ones are rejected at once, and are sent again. */
    private static final int MAX_REQUESTS = 2000;

    /**
     * A request that waits.
     *
     * @param from the process that sent it
     * @param sequence number under which the response is to be sent
     * @param preference the lower is selected first
     * @param receivedMs when it was received
     */
    record Entry(
            String from, long sequence, LeaseCommand command, int preference, double receivedMs) {}

    private final Map<String, Entry> entries = new TreeMap<>();

    boolean isEmpty() {
        return entries.isEmpty();
    }

    boolean contains(String member) {
        return entries.containsKey(member);
    }

    /**
     * Adds a request; it replaces an earlier one of the same process, whose response that process
     * no longer awaits.
     *
     * @return whether there was capacity for it
     */
    boolean offer(Entry entry) {
        if (entries.size() >= MAX_REQUESTS && !contains(entry.from())) {
            return false;
        }
        entries.put(entry.from(), entry);
        return true;
    }

    /** When the oldest request was received; the queue must not be empty. */
    double oldestReceivedMs() {
        return entries.values().stream().mapToDouble(Entry::receivedMs).min().orElseThrow();
    }

    /** Removes the request with the lowest preference number, of several that of the first name. */
    Entry removeMostPreferred() {
        Entry mostPreferred =
                entries.values().stream()
                        .min(Comparator.comparingInt(Entry::preference).thenComparing(Entry::from))
                        .orElseThrow();
        entries.remove(mostPreferred.from());
        return mostPreferred;
    }

    /** Removes the request of one process; null if it has none. */
    Entry remove(String member) {
        return entries.remove(member);
    }

    /** Removes the requests that have waited for {@code maxWaitMs} or longer. */
    List<Entry> removeExpired(double nowMs, double maxWaitMs) {
        List<Entry> expired =
                entries.values().stream()
                        .filter(entry -> nowMs >= entry.receivedMs() + maxWaitMs)
                        .toList();
        expired.forEach(entry -> entries.remove(entry.from()));
        return expired;
    }

    /** Removes all requests. */
    List<Entry> removeAll() {
        List<Entry> all = new ArrayList<>(entries.values());
        entries.clear();
        return all;
    }

    /** The processes whose requests wait, by name. */
    List<String> members() {
        return new ArrayList<>(entries.keySet());
    }
}
