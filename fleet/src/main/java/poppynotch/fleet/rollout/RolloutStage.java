package poppynotch.fleet.rollout;

import java.util.List;

/**
 * The current stage of a rollout, as the controller publishes it to the fleet. Of two stages the
 * one with the higher fencing token takes precedence, and with equal tokens the one with the higher
 * sequence number. A controller that was replaced therefore has no further effect. Immutable; the
 * order of the components is that on the wire.
 *
 * @param rolloutName the rollout's name
 * @param serverKind the kind of the canary's servers, as in discovery; empty if ids are given
 * @param serverIds the ids of the canary's servers; empty if a kind is given
 * @param phase whether the rollout runs, is halted, or has ended
 * @param index index of the stage, from 0
 * @param canaryFraction fraction of client calls that the canary receives, 0 to 1
 * @param token fencing token of the controller's lease
 * @param sequence incremented with each publication of one controller, also if nothing changed
 * @param reason short cause of the last change, for operators
 */
public record RolloutStage(
        String rolloutName,
        String serverKind,
        List<String> serverIds,
        Phase phase,
        int index,
        double canaryFraction,
        long token,
        long sequence,
        String reason) {

    /**
     * The maximum number of server ids in a plan: a stage must fit into a datagram together with
     * other updates.
     */
    public static final int MAX_SERVER_IDS = 16;

    /** The maximum length of {@link #reason}. */
    public static final int MAX_REASON_LENGTH = 80;

    /** The phases of a rollout. Names and order are written to JSON and to the wire. */
    public enum Phase {
        /** The canary is observed at this stage; the next stage follows. */
        RUNNING,
        /** The stage stays until operators resume the rollout or roll it back. */
        HALTED,
        /** The canary receives no calls: it was judged harmful, or operators rolled it back. */
        BACK,
        /** The canary's servers are treated like all others. */
        DONE
    }

    /**
     * Validates the numbers and copies the list.
     *
     * @throws IllegalArgumentException if a number or length is out of range
     */
    public RolloutStage {
        if (!(canaryFraction >= 0 && canaryFraction <= 1)
                || index < 0
                || token < 0
                || sequence < 0
                || serverIds.size() > MAX_SERVER_IDS
                || reason.length() > MAX_REASON_LENGTH) {
            throw new IllegalArgumentException(
                    "invalid rollout stage: canaryFraction=" + canaryFraction + ", index=" + index);
        }
        serverIds = List.copyOf(serverIds);
    }

    /** Whether this stage takes precedence over another one, which may be null. */
    public boolean isLaterThan(RolloutStage other) {
        return other == null
                || token > other.token
                || (token == other.token && sequence > other.sequence);
    }

    /** Whether the canary's servers are treated differently from the others. */
    boolean separatesCanary() {
        return phase != Phase.DONE;
    }

    /** Whether a server belongs to the canary; its kind is null if it is unknown. */
    boolean isCanary(String server, String kindOfServer) {
        return serverIds.contains(server)
                || (!serverKind.isEmpty() && serverKind.equals(kindOfServer));
    }
}
