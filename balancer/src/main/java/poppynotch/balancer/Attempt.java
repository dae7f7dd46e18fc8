package poppynotch.balancer;

/** One attempt of a call, from its start to its end. */
final class Attempt {
    final Slot slot;
    final double sentAtMs;
    final double timeoutMs;

    /** The outcome; null while the attempt is in flight. */
    private AttemptOutcome outcome;

    Attempt(Slot slot, double sentAtMs, double timeoutMs) {
        this.slot = slot;
        this.sentAtMs = sentAtMs;
        this.timeoutMs = timeoutMs;
    }

    boolean isInFlight() {
        return outcome == null;
    }

    void end(AttemptOutcome finalOutcome) {
        outcome = finalOutcome;
    }
}
