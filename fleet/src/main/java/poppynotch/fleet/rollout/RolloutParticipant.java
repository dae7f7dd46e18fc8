package poppynotch.fleet.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The state of a rollout in one participating process: the current stage, the canary's servers and
 * their fraction of calls, and the counts of completed calls. If no controller confirms the stage
 * for {@link #STAGE_VALIDITY_MS}, the canary receives no calls; after {@link #STAGE_EXPIRY_MS} the
 * rollout is dropped.
 *
 * <p>It does no I/O, and the current time is passed in. All methods are called on the thread of the
 * process's membership; not thread-safe.
 */
public final class RolloutParticipant {

    /**
     * How long a stage stays in force without a confirmation, in milliseconds. It is longer than
     * the 7 s within which another process takes over the controller's lease.
     */
    public static final double STAGE_VALIDITY_MS = 30_000;

    /** How long a rollout is kept without a confirmation of its stage, in milliseconds. */
    public static final double STAGE_EXPIRY_MS = 600_000;

    private RolloutStage currentStage;

    /** When the controller published the stage; the true time may be later. */
    private double publishedMs;

    private CanaryMetrics metrics = CanaryMetrics.NONE;
    private final Map<String, String> kindByServer = new HashMap<>();
    private long staleStageCount;

    /**
     * Handles a stage that was received from the fleet.
     *
     * @param ageMs upper bound of the time since the stage was published
     * @return whether the stage is new and now in force
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

    /** The current stage, or null if there is none. */
    public RolloutStage currentStage(double nowMs) {
        if (currentStage != null && nowMs - publishedMs > STAGE_EXPIRY_MS) {
            currentStage = null;
        }
        return currentStage;
    }

    /** Upper bound of the time since the stage was published, in milliseconds. */
    public double stageAgeMs(double nowMs) {
        return nowMs - publishedMs;
    }

    /**
     * Handles a list of servers from discovery.
     *
     * @param complete whether the list has all servers; otherwise it has only changes
     */
    public void onServersListed(boolean complete, Map<String, String> kindById) {
        if (complete) {
            kindByServer.clear();
        }
        kindByServer.putAll(kindById);
    }

    /** The ids of the canary's servers; empty if they are treated like all others. */
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

    /** The fraction of calls that the canary currently receives, 0 to 1. */
    public double canaryFraction(double nowMs) {
        RolloutStage current = currentStage(nowMs);
        return current == null || nowMs - publishedMs > STAGE_VALIDITY_MS
                ? 0
                : current.canaryFraction();
    }

    /** Counts a completed call of this process to a server. */
    public void onCallEnded(double nowMs, String server, boolean failed, boolean slow) {
        RolloutStage current = currentStage(nowMs);
        if (current != null) {
            boolean canary = current.isCanary(server, kindByServer.get(server));
            metrics = metrics.withCall(canary, failed, slow);
        }
    }

    /** The metrics of calls since the start of this process. */
    public CanaryMetrics metrics() {
        return metrics;
    }

    /** The number of stages rejected because a replaced controller published them. */
    public long staleStageCount() {
        return staleStageCount;
    }
}
