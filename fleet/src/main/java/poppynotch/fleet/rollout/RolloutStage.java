package poppynotch.fleet.rollout;

import java.util.List;

/**
 * How far a release of servers is, as the fleet is told. Of two the one under the higher token
 * counts, and of two under one token the later step: a conductor that was followed by another
 * changes nothing any more.
 *
 * @param release its name
 * @param kind the servers of the new version by the kind that discovery tells, or empty
 * @param ids the servers of the new version by their ids, or none
 * @param phase what is done
 * @param number of the stage, from 0
 * @param part of the calls that come from clients which goes to the new version, 0 to 1
 * @param token the conductor's
 * @param step grows with all that this conductor tells, also where nothing changed
 * @param why in a few words, for operators
 */
public record RolloutStage(
        String release,
        String kind,
        List<String> ids,
        Phase phase,
        int number,
        double part,
        long token,
        long step,
        String why) {

    /**
     * The most servers that a plan names by their ids: a stage must fit a datagram beside other
     * news.
     */
    public static final int MOST_IDS = 16;

    /** The longest reason. */
    public static final int LONGEST_WHY = 80;

    /** What is done. */
    public enum Phase {
        /** The new version bakes at this stage. */
        RUNNING,
        /** It stays as it is, until operators say more. */
        HALTED,
        /** The new version gets nothing: it was judged bad, or operators said so. */
        BACK,
        /** The new version gets what any server gets. */
        DONE
    }

    /** Checks the numbers and copies the list. */
    public RolloutStage {
        if (!(part >= 0 && part <= 1)
                || number < 0
                || token < 0
                || step < 0
                || ids.size() > MOST_IDS
                || why.length() > LONGEST_WHY) {
            throw new IllegalArgumentException("not a stage: part " + part + ", number " + number);
        }
        ids = List.copyOf(ids);
    }

    /** Whether this one counts where both are known. */
    public boolean isLaterThan(RolloutStage other) {
        return other == null || token > other.token || token == other.token && step > other.step;
    }

    /** Whether the new version's servers are told from the others at all. */
    public boolean isStaged() {
        return phase != Phase.DONE;
    }
}
