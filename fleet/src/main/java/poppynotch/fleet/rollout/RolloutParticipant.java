package poppynotch.fleet.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * One process's part in a rollout: it holds the stage in force, says which servers are the canary's
 * and which fraction of calls they receive, and counts how calls ended. Where no controller
 * confirms the stage for {@link #STAGE_VALIDITY_MS}, the canary receives no calls; after {@link
 * #STAGE_EXPIRY_MS} the rollout is over.
 *
 * <p>It does no I/O, and the current time is passed in. All calls come from one thread, that of the
 * process's membership; not thread-safe.
 */
public final class RolloutParticipant {

    /**
     * How long a stage stays in force without a confirmation, in milliseconds; the controller's
     * lease is passed on within 7 s.
     */
    public static final double STAGE_VALIDITY_MS = 30_000;

    /** After this time without a confirmation it is as if there had been no rollout. */
    public static final double STAGE_EXPIRY_MS = 600_000;

    private RolloutStage currentStage;

    /** When the controller published the stage, at the latest. */
    private double publishedMs;

    private CanaryMetrics metrics = CanaryMetrics.NONE;
    private final Map<String, String> kindByServer = new HashMap<>();
    private long staleStageCount;

    /**
     * A stage was received.
     *
     * @param ageMs how long ago it was published, at most
     * @return whether it is in force now and was not known before
     */
    public boolean onStage(double nowMs, RolloutStage received, double ageMs) {
        if (ageMs >= STAGE_EXPIRY_MS || !received.isLaterThan(currentStage)) {
            if (currentStage != null && received.token() < currentStage.token()) {
                staleStageCount++;
            }
            return false;
        }
        currentStage = received;
        publishedMs = nowMs - ageMs;
        return true;
    }

    /** The stage in force, or null for none. */
    public RolloutStage currentStage(double nowMs) {
        if (currentStage != null && nowMs - publishedMs > STAGE_EXPIRY_MS) {
            currentStage = null;
        }
        return currentStage;
    }

    /** How long ago the stage was published, at most, in milliseconds. */
    public double stageAgeMs(double nowMs) {
        return nowMs - publishedMs;
    }

    /**
     * Discovery has listed servers.
     *
     * @param complete whether these are all servers; else they are changes
     */
    public void onServersListed(boolean complete, Map<String, String> kindById) {
        if (complete) {
            kindByServer.clear();
        }
        kindByServer.putAll(kindById);
    }

    /** The ids of the canary's servers, while they are treated differently from the others. */
    public Set<String> canaryServers(double nowMs) {
        RolloutStage current = currentStage(nowMs);
        Set<String> canaryServers = new HashSet<>();
        if (current != null && current.separatesCanary()) {
            kindByServer.forEach(
                    (id, kind) -> {
                        if (current.isCanary(id, kind)) {
                            canaryServers.add(id);
                        }
                    });
        }
        return canaryServers;
    }

    /** The fraction of calls that the canary receives now, 0 to 1. */
    public double canaryFraction(double nowMs) {
        RolloutStage current = currentStage(nowMs);
        return current == null || nowMs - publishedMs > STAGE_VALIDITY_MS
                ? 0
                : current.canaryFraction();
    }

    /** A call of this process to a server has ended. */
    public void onCallEnded(double nowMs, String server, boolean failed, boolean slow) {
        RolloutStage current = currentStage(nowMs);
        if (current != null) {
            boolean canary = current.isCanary(server, kindByServer.get(server));
            metrics = metrics.withCall(canary, failed, slow);
        }
    }

    /** How calls ended since the start of this process. */
    public CanaryMetrics metrics() {
        return metrics;
    }

    /** How many stages were rejected as published by a controller that was replaced. */
    public long staleStageCount() {
        return staleStageCount;
    }
}
