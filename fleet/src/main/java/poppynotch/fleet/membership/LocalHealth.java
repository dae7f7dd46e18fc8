package poppynotch.fleet.membership;

/**
 * Local health score of Lifeguard: how far this process distrusts its own observations. The score
 * is 0 when the process is healthy. Each sign that it is slow, or that it receives few messages,
 * raises the score, and with it the time that the process waits before it suspects others, up to
 * nine times as long.
 *
 * <p>Owned by {@link Membership} and confined to its thread.
 */
final class LocalHealth {

    private static final int MAX_SCORE = 8;

    private int score;

    /** Raises the score, up to its maximum. */
    void degrade(int points) {
        score = Math.min(MAX_SCORE, score + points);
    }

    /** Lowers the score by one, down to 0. */
    void improve() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    /** Extends a time-out by the current score. */
    double scaledMs(double timeoutMs) {
        return timeoutMs * (1 + score);
    }
}
