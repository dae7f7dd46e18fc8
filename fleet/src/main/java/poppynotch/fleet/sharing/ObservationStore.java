package poppynotch.fleet.sharing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The last sighting of each server by each process: a map of last-writer-wins registers, whose
 * writer is the origin alone. It does no I/O and is told the time. What is older than its bound is
 * as good as not there.
 */
public final class ObservationStore {

    private static final class StoredObservation {
        Observation observation;

        /** When its age was what it says. */
        double storedMs;

        int transmissions;

        double ageMs(double now) {
            return observation.ageMs() + now - storedMs;
        }
    }

    private final String origin;
    private final long run;
    private final double maxAgeMs;
    private final int maxEntries;
    private final Map<String, Map<String, StoredObservation>> byServer = new HashMap<>();
    private int entryCount;
    private long lastVersion;
    private long evicted;
    private long rejected;
    private long expiredOnArrival;
    private double oldestUsedMs;

    /**
     * An empty store.
     *
     * @param boundMs a sighting older than this is not used
     * @param mostEntries beyond this the oldest falls out, and is counted
     */
    public ObservationStore(String origin, long run, double boundMs, int mostEntries) {
        this.origin = origin;
        this.run = run;
        this.maxAgeMs = boundMs;
        this.maxEntries = mostEntries;
    }

    /** This process saw how calls to a server ended in its last window. */
    public void saw(
            double now, String server, int attempts, int unreachable, int errors, int silent) {
        put(
                now,
                new Observation(
                        server,
                        origin,
                        run,
                        ++lastVersion,
                        attempts,
                        unreachable,
                        errors,
                        silent,
                        0));
    }

    /**
     * Takes up what another process told.
     *
     * @param transitMs it was under way for so long at most
     * @return whether it was news
     */
    public boolean hear(double now, Observation told, double transitMs) {
        if (!told.isPlausible() || told.origin().equals(origin)) {
            // Of what it saw itself a process needs no news: what it hears was it or a namesake
            // before it.
            rejected += told.isPlausible() ? 0 : 1;
            return false;
        }
        Observation aged = told.withAgeMs(told.ageMs() + transitMs);
        if (aged.ageMs() > maxAgeMs) {
            expiredOnArrival++;
            return false;
        }
        StoredObservation held = byServer.getOrDefault(told.server(), Map.of()).get(told.origin());
        if (held != null && !told.isLaterThan(held.observation)) {
            return false;
        }
        put(now, aged);
        return true;
    }

    private void put(double now, Observation sighting) {
        StoredObservation held = new StoredObservation();
        held.observation = sighting;
        held.storedMs = now;
        boolean isNew =
                byServer.computeIfAbsent(sighting.server(), s -> new HashMap<>())
                                .put(sighting.origin(), held)
                        == null;
        entryCount += isNew ? 1 : 0;
        if (entryCount > maxEntries) {
            removeExpired(now);
        }
        if (entryCount > maxEntries) {
            byServer.values().stream()
                    .flatMap(each -> each.values().stream())
                    .max(
                            Comparator.comparingDouble((StoredObservation each) -> each.ageMs(now))
                                    .thenComparing(
                                            each ->
                                                    each.observation.origin()
                                                            + " "
                                                            + each.observation.server()))
                    .ifPresent(
                            oldest -> {
                                remove(oldest.observation);
                                evicted++;
                            });
        }
    }

    private void remove(Observation sighting) {
        Map<String, StoredObservation> own = byServer.get(sighting.server());
        own.remove(sighting.origin());
        entryCount--;
        if (own.isEmpty()) {
            byServer.remove(sighting.server());
        }
    }

    /** Forgets what is past its bound. */
    public void removeExpired(double now) {
        List<Observation> old = new ArrayList<>();
        byServer.values()
                .forEach(
                        own ->
                                own.values()
                                        .forEach(
                                                held -> {
                                                    if (held.ageMs(now) > maxAgeMs) {
                                                        old.add(held.observation);
                                                    }
                                                }));
        old.forEach(this::remove);
    }

    /** What is known of a server and not past its bound, each with its age now. */
    public List<Observation> of(double now, String server) {
        List<Observation> known = new ArrayList<>();
        for (StoredObservation held : byServer.getOrDefault(server, Map.of()).values()) {
            double age = held.ageMs(now);
            if (age <= maxAgeMs) {
                known.add(held.observation.withAgeMs(age));
                oldestUsedMs = Math.max(oldestUsedMs, age);
            }
        }
        known.sort(Comparator.comparing(Observation::origin));
        return known;
    }

    /** The servers of which anything is known. */
    public Collection<String> servers() {
        return List.copyOf(byServer.keySet());
    }

    /**
     * What the next answer takes along: what was told least, and of that the youngest.
     *
     * @param bytes room for it
     * @param times each is told so often
     */
    public List<Observation> takeForMessage(double now, int bytes, int times) {
        List<StoredObservation> waiting = new ArrayList<>();
        byServer.values()
                .forEach(
                        own ->
                                own.values()
                                        .forEach(
                                                held -> {
                                                    if (held.transmissions < times
                                                            && held.ageMs(now) <= maxAgeMs) {
                                                        waiting.add(held);
                                                    }
                                                }));
        waiting.sort(
                Comparator.<StoredObservation>comparingInt(held -> held.transmissions)
                        .thenComparingDouble(held -> held.ageMs(now))
                        .thenComparing(
                                held ->
                                        held.observation.origin()
                                                + " "
                                                + held.observation.server()));
        List<Observation> next = new ArrayList<>();
        int room = bytes;
        for (StoredObservation held : waiting) {
            if (held.observation.maxEncodedBytes() <= room) {
                room -= held.observation.maxEncodedBytes();
                held.transmissions++;
                next.add(held.observation.withAgeMs(held.ageMs(now)));
            }
        }
        return next;
    }

    /** How many are held. */
    public int size() {
        return entryCount;
    }

    /** How many fell out for want of room. */
    public long evicted() {
        return evicted;
    }

    /** How many could not be true. */
    public long rejected() {
        return rejected;
    }

    /** How many came past their bound. */
    public long expiredOnArrival() {
        return expiredOnArrival;
    }

    /** The oldest that was used, in milliseconds: never above the bound. */
    public double oldestUsedMs() {
        return oldestUsedMs;
    }
}
