package poppynotch.fleet.host;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counters of messages, bytes and errors of a {@link Transport}, by the names shown to operators.
 * Confined to the transport's event loop.
 */
final class TransportCounters {

    private final Map<String, Long> counts = new TreeMap<>();

    void increment(String name) {
        add(name, 1);
    }

    void add(String name, long amount) {
        counts.merge(name, amount, Long::sum);
    }

    /** A copy of all counters, by name. */
    Map<String, Long> snapshot() {
        return new TreeMap<>(counts);
    }
}
