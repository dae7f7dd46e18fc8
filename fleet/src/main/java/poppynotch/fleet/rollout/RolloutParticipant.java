package poppynotch.fleet.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * One process's part in a rollout: it holds the stage in force, says which servers are the canary's
 * and which fraction of calls they receive, and counts how calls ended. Where no controller
 * confirms the stage for {@link #HOLD_MS}, the canary receives no calls; after {@link #FORGET_MS}
 * the rollout is over.
 *
 * <p>It does no I/O, and the current time is passed in. All calls come from one thread, that of the
 * process's membership; not thread-safe.
 */
public final class RolloutParticipant {

    /**
     * How long a stage stays in force without a confirmation, in milliseconds; the controller's
     * lease is passed on within 7 s.
     */
    public static final double HOLD_MS = 30_000;

    /** After this time without a confirmation it is as if there had been no rollout. */
    public static final double FORGET_MS = 600_000;

    private RolloutStage stage;

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
    public boolean hear(double nowMs, RolloutStage received, double ageMs) {
        if (ageMs >= FORGET_MS || !received.isLaterThan(stage)) {
            if (stage != null && received.token() < stage.token()) {
                staleStageCount++;
            }
            return false;
        }
        stage = received;
        publishedMs = nowMs - ageMs;
        return true;
    }

    /** The stage in force, or null for none. */
    public RolloutStage stage(double nowMs) {
        if (stage != null && nowMs - publishedMs > FORGET_MS) {
            stage = null;
        }
        return stage;
    }

    /** How long ago the stage was published, at most, in milliseconds. */
    public double ageMs(double nowMs) {
        return nowMs - publishedMs;
    }

    /**
     * Discovery has listed servers.
     *
     * @param complete whether these are all servers; else they are changes
     */
    public void listed(boolean complete, Map<String, String> kindById) {
        if (complete) {
            kindByServer.clear();
        }
        kindByServer.putAll(kindById);
    }

    /** The ids of the canary's servers, while they are treated differently from the others. */
    public Set<String> staged(double nowMs) {
        RolloutStage current = stage(nowMs);
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
    public double part(double nowMs) {
        RolloutStage current = stage(nowMs);
        return current == null || nowMs - publishedMs > HOLD_MS ? 0 : current.part();
    }

    /** A call of this process to a server has ended. */
    public void ended(double nowMs, String server, boolean failed, boolean slow) {
        RolloutStage current = stage(nowMs);
        if (current != null) {
            boolean canary = current.isCanary(server, kindByServer.get(server));
            metrics = metrics.withCall(canary, failed, slow);
        }
    }

    /** How calls ended since the start of this process. */
    public CanaryMetrics tally() {
        return metrics;
    }

    /** How many stages were rejected as published by a controller that was replaced. */
    public long refused() {
        return staleStageCount;
    }
}
