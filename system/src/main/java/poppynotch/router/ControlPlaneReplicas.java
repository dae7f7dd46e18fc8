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
 * The control-plane replicas that an edge knows by address, and the choice of one to connect to.
 * Owned by a {@link ControlClient} and used on its thread only. It has no clock of its own.
 */
final class ControlPlaneReplicas {

    /** After a failure, a replica is avoided for so long if there is another one. */
    private static final long AVOID_MS = 1500;

    /** A replica that no other one has named for so long is removed; seeds are not. */
    private static final long EXPIRY_MS = 60_000;

    private static final long SEED_NAMED_MS = Long.MAX_VALUE;

    /** When each replica was last named by another one, by address. */
    private final Map<String, Long> lastNamedMs = new LinkedHashMap<>();

    private final Map<String, Long> avoidedUntilMs = new HashMap<>();
    private final SplittableRandom random;

    /** No replicas yet; choices are drawn from {@code random}. */
    ControlPlaneReplicas(SplittableRandom random) {
        this.random = random;
    }

    /** Adds replicas that never expire. */
    void addSeeds(Collection<String> addresses) {
        addresses.forEach(address -> lastNamedMs.put(address, SEED_NAMED_MS));
    }

    /** A replica has named all that it knows. Those that none has named for long are removed. */
    void onNamed(long nowMs, Collection<String> addresses) {
        addresses.forEach(address -> lastNamedMs.merge(address, nowMs, Math::max));
        lastNamedMs.values().removeIf(namedMs -> nowMs - namedMs > EXPIRY_MS);
    }

    /** A replica was unreachable, silent, or without a quorum. */
    void onFailed(long nowMs, String address) {
        avoidedUntilMs.put(address, nowMs + AVOID_MS);
    }

    /**
     * Draws a replica that no connection uses, and that has not failed lately.
     *
     * @param inUse addresses that connections use already
     * @param acceptFailed whether one that has failed lately is chosen if there is no other
     */
    Optional<String> select(long nowMs, Set<String> inUse, boolean acceptFailed) {
        List<String> unused =
                lastNamedMs.keySet().stream().filter(address -> !inUse.contains(address)).toList();
        List<String> candidates =
                unused.stream()
                        .filter(
                                address ->
                                        nowMs
                                                >= avoidedUntilMs.getOrDefault(
                                                        address, Long.MIN_VALUE))
                        .toList();
        if (!candidates.isEmpty()) {
            return draw(candidates);
        }
        return unused.isEmpty() || !acceptFailed ? Optional.empty() : draw(unused);
    }

    private Optional<String> draw(List<String> addresses) {
        return Optional.of(addresses.get(random.nextInt(addresses.size())));
    }
}
