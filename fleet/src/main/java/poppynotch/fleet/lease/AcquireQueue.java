package poppynotch.fleet.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The queue of requests that wait at the leader until one singleton role becomes free, at most one
 * request per process. Owned by {@link LeaseService} and called on its thread; not thread-safe.
 */
final class AcquireQueue {

    /** The maximum number of requests; further ones are rejected, and clients retry them. */
    private static final int MAX_REQUESTS = 2000;

    /**
     * A waiting request.
     *
     * @param from the process that sent the request
     * @param sequence sequence number of the request, for the response
     * @param preference the request with the lowest number is selected first
     * @param receivedMs when the request was received
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
     * Adds a request, which replaces an earlier one of the same process: that process no longer
     * waits for the earlier response.
     *
     * @return whether the queue had capacity for the request
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

    /** Removes the request with the lowest preference number; ties are broken by name. */
    Entry removeMostPreferred() {
        Entry mostPreferred =
                entries.values().stream()
                        .min(Comparator.comparingInt(Entry::preference).thenComparing(Entry::from))
                        .orElseThrow();
        entries.remove(mostPreferred.from());
        return mostPreferred;
    }

    /** Removes the request of one process and returns it; null if there is none. */
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

    /** The names of the processes with a waiting request, sorted. */
    List<String> members() {
        return new ArrayList<>(entries.keySet());
    }
}
