package poppynotch.fleet.membership;

/**
 * How far a process trusts its own senses (Lifeguard, local health): 0 is well; each sign that it
 * is slow or hears little makes it wait longer before it blames others, up to nine times as long.
 */
final class LocalHealth {

    private static final int WORST = 8;

    private int score;

    void worse(int by) {
        score = Math.min(WORST, score + by);
    }

    void better() {
        score = Math.max(0, score - 1);
    }

    int score() {
        return score;
    }

    double stretched(double ms) {
        return ms * (1 + score);
    }
}
