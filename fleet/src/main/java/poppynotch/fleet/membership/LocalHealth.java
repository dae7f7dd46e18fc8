package poppynotch.fleet.membership;

/**
 * How far a process trusts its own senses (Lifeguard, local health): 0 is well; each sign that it
 * is slow or hears little makes it wait longer before it blames others, up to nine times as long.
 */
final class LocalHealth {

    private static final int MAX_SCORE = 8;

    private int score;

    void degrade(int by) {
        score = Math.min(MAX_SCORE, score + by);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    double scaledMs(double ms) {
        return ms * (1 + score);
    }
}
