package poppynotch.router;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The addresses of the control-plane replicas that an edge knows, and the selection of one to
 * connect to. Owned by a {@link ControlClient} and used on its thread only. Times are passed in by
 * the caller.
 */
final class ControlPlaneReplicas {

    /** For this time after a failure, a replica is selected only if there is no other one. */
    private static final long FAILURE_BACKOFF_MS = 1500;

    /** A replica that no other one has listed for this time is removed; seeds never are. */
    private static final long EXPIRY_MS = 60_000;

    private static final long SEED_LISTED_MS = Long.MAX_VALUE;

    /** When each replica was last listed by a replica, by address. */
    private final Map<String, Long> lastListedMs = new LinkedHashMap<>();

    private final Map<String, Long> backoffUntilMs = new HashMap<>();
    private final SplittableRandom random;

    /** Creates an empty set of replicas; {@code random} selects among equal candidates. */
    ControlPlaneReplicas(SplittableRandom random) {
        this.random = random;
    }

    /** Adds replicas that never expire. */
    void addSeeds(Collection<String> addresses) {
        addresses.forEach(address -> lastListedMs.put(address, SEED_LISTED_MS));
    }

    /**
     * Adds the replicas in a replica's list, and removes those that have been in no list for
     * {@value #EXPIRY_MS} ms.
     */
    void onListed(long nowMs, Collection<String> addresses) {
        addresses.forEach(address -> lastListedMs.merge(address, nowMs, Math::max));
        lastListedMs.values().removeIf(listedMs -> nowMs - listedMs > EXPIRY_MS);
    }

    /** Records that a replica was unreachable, did not reply in time, or had no quorum. */
    void onFailed(long nowMs, String address) {
        backoffUntilMs.put(address, nowMs + FAILURE_BACKOFF_MS);
    }

    /**
     * Selects at random a replica that is not in use and has not failed recently.
     *
     * @param inUse addresses of replicas that already have a connection
     * @param acceptFailed whether a replica that has failed recently is selected if there is no
     *     other
     */
    Optional<String> select(long nowMs, Set<String> inUse, boolean acceptFailed) {
        List<String> unused =
                lastListedMs.keySet().stream().filter(address -> !inUse.contains(address)).toList();
        List<String> candidates =
                unused.stream()
                        .filter(
                                address ->
                                        nowMs
                                                >= backoffUntilMs.getOrDefault(
                                                        address, Long.MIN_VALUE))
                        .toList();
        if (!candidates.isEmpty()) {
            return pickRandom(candidates);
        }
        return unused.isEmpty() || !acceptFailed ? Optional.empty() : pickRandom(unused);
    }

    private Optional<String> pickRandom(List<String> addresses) {
        return Optional.of(addresses.get(random.nextInt(addresses.size())));
    }
}
