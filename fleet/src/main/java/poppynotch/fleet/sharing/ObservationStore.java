package poppynotch.fleet.sharing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The last observation of each server by each process: a map of last-writer-wins registers, each of
 * which is written only by the process that made the observation. Observations above the maximum
 * age are not used.
 *
 * <p>A state machine without I/O and without a clock: it is passed the time, in milliseconds. Owned
 * by {@link SharedState} and confined to its thread.
 */
public final class ObservationStore {

    private static final class StoredObservation {
        final Observation observation;

        /** When the observation was stored; its age was {@link Observation#ageMs} then. */
        final double storedMs;

        int transmissions;

        StoredObservation(Observation observation, double storedMs) {
            this.observation = observation;
            this.storedMs = storedMs;
        }

        double ageMs(double now) {
            return observation.ageMs() + now - storedMs;
        }

        /** Sort key of observations of the same age, whose order must not depend on hashing. */
        String originAndServer() {
            return observation.origin() + " " + observation.server();
        }
    }

    private final String origin;
    private final long run;
    private final double maxAgeMs;
    private final int maxEntries;

    /** Observations by server, and then by the process that made them. */
    private final Map<String, Map<String, StoredObservation>> observationsByServer =
            new HashMap<>();

    private int entryCount;
    private long lastVersion;
    private long evicted;
    private long rejected;
    private long expiredOnArrival;
    private double oldestUsedMs;

    /**
     * Creates an empty store.
     *
     * @param origin name of this process
     * @param run random id of this process; distinguishes it from others of its name
     * @param maxAgeMs maximum age of an observation that is used
     * @param maxEntries maximum size; beyond it the oldest observation is evicted, and counted
     */
    public ObservationStore(String origin, long run, double maxAgeMs, int maxEntries) {
        this.origin = origin;
        this.run = run;
        this.maxAgeMs = maxAgeMs;
        this.maxEntries = maxEntries;
    }

    /** Stores an observation by this process itself, with the numbers of its calls. */
    public void recordLocal(
            double now, String server, int attempts, int unreachable, int errors, int timedOut) {
        lastVersion++;
        put(
                now,
                new Observation(
                        server,
                        origin,
                        run,
                        lastVersion,
                        attempts,
                        unreachable,
                        errors,
                        timedOut,
                        0));
    }

    /**
     * Merges an observation that another process sent. An implausible one is counted as rejected.
     *
     * @param transitMs upper bound of the time for which it was in transit
     * @return whether it was new
     */
    public boolean merge(double now, Observation received, double transitMs) {
        if (!received.isPlausible()) {
            rejected++;
            return false;
        }
        if (received.origin().equals(origin)) {
            // Made by this process itself, or by an earlier one of its name.
            return false;
        }
        Observation aged = received.withAgeMs(received.ageMs() + transitMs);
        if (aged.ageMs() > maxAgeMs) {
            expiredOnArrival++;
            return false;
        }
        StoredObservation stored =
                observationsByServer
                        .getOrDefault(received.server(), Map.of())
                        .get(received.origin());
        if (stored != null && !received.isLaterThan(stored.observation)) {
            return false;
        }
        put(now, aged);
        return true;
    }

    private void put(double now, Observation observation) {
        StoredObservation previous =
                observationsByServer
                        .computeIfAbsent(observation.server(), server -> new HashMap<>())
                        .put(observation.origin(), new StoredObservation(observation, now));
        entryCount += previous == null ? 1 : 0;
        if (entryCount > maxEntries) {
            removeExpired(now);
        }
        if (entryCount > maxEntries) {
            evictOldest(now);
        }
    }

    private void evictOldest(double now) {
        observationsByServer.values().stream()
                .flatMap(byOrigin -> byOrigin.values().stream())
                .max(
                        Comparator.comparingDouble((StoredObservation stored) -> stored.ageMs(now))
                                .thenComparing(StoredObservation::originAndServer))
                .ifPresent(
                        oldest -> {
                            remove(oldest.observation);
                            evicted++;
                        });
    }

    private void remove(Observation observation) {
        Map<String, StoredObservation> byOrigin = observationsByServer.get(observation.server());
        byOrigin.remove(observation.origin());
        entryCount--;
        if (byOrigin.isEmpty()) {
            observationsByServer.remove(observation.server());
        }
    }

    private void forEachStored(Consumer<StoredObservation> action) {
        observationsByServer.values().forEach(byOrigin -> byOrigin.values().forEach(action));
    }

    /** Removes the observations above the maximum age. */
    public void removeExpired(double now) {
        List<Observation> expired = new ArrayList<>();
        forEachStored(
                stored -> {
                    if (stored.ageMs(now) > maxAgeMs) {
                        expired.add(stored.observation);
                    }
                });
        expired.forEach(this::remove);
    }

    /** Returns the usable observations of a server with their current ages, ordered by origin. */
    public List<Observation> observationsOf(double now, String server) {
        List<Observation> usable = new ArrayList<>();
        for (StoredObservation stored :
                observationsByServer.getOrDefault(server, Map.of()).values()) {
            double ageMs = stored.ageMs(now);
            if (ageMs <= maxAgeMs) {
                usable.add(stored.observation.withAgeMs(ageMs));
                oldestUsedMs = Math.max(oldestUsedMs, ageMs);
            }
        }
        usable.sort(Comparator.comparing(Observation::origin));
        return usable;
    }

    /** Returns the servers with observations. */
    public Collection<String> servers() {
        return List.copyOf(observationsByServer.keySet());
    }

    /**
     * Returns the observations for the next message, and counts them as transmitted: first those
     * that were transmitted least often, and of these the youngest.
     *
     * @param maxBytes maximum encoded size of the observations
     * @param maxTransmissions number of times that each observation is transmitted
     */
    public List<Observation> takeForMessage(double now, int maxBytes, int maxTransmissions) {
        List<StoredObservation> candidates = new ArrayList<>();
        forEachStored(
                stored -> {
                    if (stored.transmissions < maxTransmissions && stored.ageMs(now) <= maxAgeMs) {
                        candidates.add(stored);
                    }
                });
        candidates.sort(
                Comparator.<StoredObservation>comparingInt(stored -> stored.transmissions)
                        .thenComparingDouble(stored -> stored.ageMs(now))
                        .thenComparing(StoredObservation::originAndServer));
        List<Observation> taken = new ArrayList<>();
        int remainingBytes = maxBytes;
        for (StoredObservation stored : candidates) {
            int encodedBytes = stored.observation.maxEncodedBytes();
            if (encodedBytes <= remainingBytes) {
                remainingBytes -= encodedBytes;
                stored.transmissions++;
                taken.add(stored.observation.withAgeMs(stored.ageMs(now)));
            }
        }
        return taken;
    }

    /** Number of stored observations. */
    public int size() {
        return entryCount;
    }

    /** Number of observations that were evicted because the store was full. */
    public long evicted() {
        return evicted;
    }

    /** Number of observations that were rejected as implausible. */
    public long rejected() {
        return rejected;
    }

    /** Number of observations that were above the maximum age on arrival. */
    public long expiredOnArrival() {
        return expiredOnArrival;
    }

    /** Age of the oldest observation that was ever used, in milliseconds. */
    public double oldestUsedMs() {
        return oldestUsedMs;
    }
}
