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

    private static final class Held {
        Observation sighting;

        /** When its age was what it says. */
        double atMs;

        int told;

        double age(double now) {
            return sighting.ageMs() + now - atMs;
        }
    }

    private final String origin;
    private final long run;
    private final double boundMs;
    private final int mostEntries;
    private final Map<String, Map<String, Held>> byServer = new HashMap<>();
    private int entries;
    private long versions;
    private long fallenOut;
    private long refused;
    private long tooOld;
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
        this.boundMs = boundMs;
        this.mostEntries = mostEntries;
    }

    /** This process saw how calls to a server ended in its last window. */
    public void saw(
            double now, String server, int attempts, int unreachable, int errors, int silent) {
        put(
                now,
                new Observation(
                        server, origin, run, ++versions, attempts, unreachable, errors, silent, 0));
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
            refused += told.isPlausible() ? 0 : 1;
            return false;
        }
        Observation aged = told.aged(told.ageMs() + transitMs);
        if (aged.ageMs() > boundMs) {
            tooOld++;
            return false;
        }
        Held held = byServer.getOrDefault(told.server(), Map.of()).get(told.origin());
        if (held != null && !told.isLaterThan(held.sighting)) {
            return false;
        }
        put(now, aged);
        return true;
    }

    private void put(double now, Observation sighting) {
        Held held = new Held();
        held.sighting = sighting;
        held.atMs = now;
        boolean isNew =
                byServer.computeIfAbsent(sighting.server(), s -> new HashMap<>())
                                .put(sighting.origin(), held)
                        == null;
        entries += isNew ? 1 : 0;
        if (entries > mostEntries) {
            dropOld(now);
        }
        if (entries > mostEntries) {
            byServer.values().stream()
                    .flatMap(each -> each.values().stream())
                    .max(
                            Comparator.comparingDouble((Held each) -> each.age(now))
                                    .thenComparing(
                                            each ->
                                                    each.sighting.origin()
                                                            + " "
                                                            + each.sighting.server()))
                    .ifPresent(
                            oldest -> {
                                remove(oldest.sighting);
                                fallenOut++;
                            });
        }
    }

    private void remove(Observation sighting) {
        Map<String, Held> own = byServer.get(sighting.server());
        own.remove(sighting.origin());
        entries--;
        if (own.isEmpty()) {
            byServer.remove(sighting.server());
        }
    }

    /** Forgets what is past its bound. */
    public void dropOld(double now) {
        List<Observation> old = new ArrayList<>();
        byServer.values()
                .forEach(
                        own ->
                                own.values()
                                        .forEach(
                                                held -> {
                                                    if (held.age(now) > boundMs) {
                                                        old.add(held.sighting);
                                                    }
                                                }));
        old.forEach(this::remove);
    }

    /** What is known of a server and not past its bound, each with its age now. */
    public List<Observation> of(double now, String server) {
        List<Observation> known = new ArrayList<>();
        for (Held held : byServer.getOrDefault(server, Map.of()).values()) {
            double age = held.age(now);
            if (age <= boundMs) {
                known.add(held.sighting.aged(age));
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
    public List<Observation> next(double now, int bytes, int times) {
        List<Held> waiting = new ArrayList<>();
        byServer.values()
                .forEach(
                        own ->
                                own.values()
                                        .forEach(
                                                held -> {
                                                    if (held.told < times
                                                            && held.age(now) <= boundMs) {
                                                        waiting.add(held);
                                                    }
                                                }));
        waiting.sort(
                Comparator.<Held>comparingInt(held -> held.told)
                        .thenComparingDouble(held -> held.age(now))
                        .thenComparing(
                                held -> held.sighting.origin() + " " + held.sighting.server()));
        List<Observation> next = new ArrayList<>();
        int room = bytes;
        for (Held held : waiting) {
            if (held.sighting.weight() <= room) {
                room -= held.sighting.weight();
                held.told++;
                next.add(held.sighting.aged(held.age(now)));
            }
        }
        return next;
    }

    /** How many are held. */
    public int size() {
        return entries;
    }

    /** How many fell out for want of room. */
    public long fallenOut() {
        return fallenOut;
    }

    /** How many could not be true. */
    public long refused() {
        return refused;
    }

    /** How many came past their bound. */
    public long tooOld() {
        return tooOld;
    }

    /** The oldest that was used, in milliseconds: never above the bound. */
    public double oldestUsedMs() {
        return oldestUsedMs;
    }
}
