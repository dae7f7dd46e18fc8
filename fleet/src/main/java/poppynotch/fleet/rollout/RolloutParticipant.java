package poppynotch.fleet.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What one process holds of a release and does for it: which servers are the new version's, and how
 * calls ended at them and at the others. It does no I/O and is told the time. A conductor that
 * falls silent leaves its last stage for a bound; then the new version gets nothing, and after a
 * longer one the release is over.
 */
public final class RolloutParticipant {

    /**
     * The last stage holds for so long without a word: a conductor's duty is passed on within 7 s.
     */
    public static final double HOLD_MS = 30_000;

    /** After so long it is as if there had been no release. */
    public static final double FORGET_MS = 600_000;

    private RolloutStage stage;

    /** When the stage was told by its conductor, at the latest. */
    private double toldMs;

    private CanaryMetrics tally = CanaryMetrics.NONE;
    private final Map<String, String> kinds = new HashMap<>();
    private long refused;

    /**
     * A stage was heard of.
     *
     * @param ageMs how old it is at most
     * @return whether it was news
     */
    public boolean hear(double now, RolloutStage told, double ageMs) {
        if (ageMs >= FORGET_MS || !told.isLaterThan(stage)) {
            refused += stage != null && told.token() < stage.token() ? 1 : 0;
            return false;
        }
        stage = told;
        toldMs = now - ageMs;
        return true;
    }

    /** The stage that it holds, or null. */
    public RolloutStage stage(double now) {
        if (stage != null && now - toldMs > FORGET_MS) {
            stage = null;
        }
        return stage;
    }

    /** How old that is at most. */
    public double ageMs(double now) {
        return now - toldMs;
    }

    /** The servers that discovery names now, each with its kind; all of them, or changes. */
    public void listed(boolean whole, Map<String, String> kindById) {
        if (whole) {
            kinds.clear();
        }
        kinds.putAll(kindById);
    }

    /** The servers that are told from the others now. */
    public Set<String> staged(double now) {
        RolloutStage held = stage(now);
        Set<String> staged = new HashSet<>();
        if (held != null && held.isStaged()) {
            kinds.forEach(
                    (id, kind) -> {
                        if (isFresh(held, id, kind)) {
                            staged.add(id);
                        }
                    });
        }
        return staged;
    }

    private static boolean isFresh(RolloutStage held, String id, String kind) {
        return held.ids().contains(id) || !held.kind().isEmpty() && held.kind().equals(kind);
    }

    /** The part of the calls that goes to them. */
    public double part(double now) {
        RolloutStage held = stage(now);
        return held == null || now - toldMs > HOLD_MS ? 0 : held.part();
    }

    /** A call of this process has ended. */
    public void ended(double now, String server, boolean failed, boolean slow) {
        RolloutStage held = stage(now);
        if (held != null) {
            tally = tally.plus(isFresh(held, server, kinds.get(server)), failed, slow);
        }
    }

    /** How its calls ended since its start. */
    public CanaryMetrics tally() {
        return tally;
    }

    /** Stages of conductors that others have followed. */
    public long refused() {
        return refused;
    }
}
