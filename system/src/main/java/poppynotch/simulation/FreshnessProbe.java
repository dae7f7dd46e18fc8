package poppynotch.simulation;

import java.util.List;
import java.util.Optional;
import poppynotch.register.RegisterValue;
import poppynotch.wire.Message;

/**
 * Polls all control-plane replicas as an edge without a configuration does, and passes the
 * generations that they confirm as current to the checker.
 */
final class FreshnessProbe extends VirtualProcess implements ReplyTarget {

    private static final long POLL_INTERVAL_MS = 100;

    /** Edges ignore a replica whose last contact with a quorum is longer ago. */
    private static final int MAX_QUORUM_AGE_MS = 1000;

    private final SimulatedFleet fleet;

    FreshnessProbe(SimulatedFleet fleet) {
        super("probe", fleet.time());
        this.fleet = fleet;
    }

    @Override
    void onStart() {
        runPeriodically(POLL_INTERVAL_MS, this::pollAll);
    }

    private void pollAll() {
        Message.Poll poll =
                new Message.Poll(
                        name(), startCount(), "", time.getAsLong(), -1, 0, 0, List.of(), List.of());
        fleet.replicas().stream()
                .filter(VirtualControlPlane::isUp)
                .forEach(
                        replica ->
                                fleet.network()
                                        .send(
                                                this,
                                                replica,
                                                () -> replica.node().onPoll(this, poll)));
    }

    /** Runs in the replica's process when it replies, so that the quorum age is exact. */
    @Override
    public void onReply(VirtualControlPlane from, Message message) {
        Message.PollReply reply = (Message.PollReply) message;
        if (reply.quorumAgeMs() <= MAX_QUORUM_AGE_MS) {
            long generation =
                    Optional.ofNullable(reply.value()).map(RegisterValue::generation).orElse(0L);
            fleet.checker()
                    .onConfirmed(from.name(), generation, time.getAsLong() - reply.quorumAgeMs());
        }
    }
}
