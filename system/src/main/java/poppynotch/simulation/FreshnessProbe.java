package poppynotch.simulation;

import java.util.List;
import java.util.Optional;
import poppynotch.register.RegisterValue;
import poppynotch.wire.Message;

/**
 * Asks all core processes again and again what they vouch for, as an edge does that knows nothing
 * yet.
 */
final class FreshnessProbe extends VirtualProcess implements ReplyTarget {

    private static final long PAUSE_MS = 100;

    /** Edges take nothing from a core process that has been without a quorum for longer. */
    private static final int QUORUM_AGE_MS = 1000;

    private final SimulatedFleet world;

    FreshnessProbe(SimulatedFleet world) {
        super("probe", world.time());
        this.world = world;
    }

    @Override
    void begin() {
        every(PAUSE_MS, this::ask);
    }

    private void ask() {
        Message.Poll poll =
                new Message.Poll(name(), life(), "", time.getAsLong(), -1, 0, 0, List.of());
        world.cores().stream()
                .filter(VirtualControlPlane::isUp)
                .forEach(
                        core ->
                                world.network()
                                        .send(this, core, () -> core.core().poll(this, poll)));
    }

    @Override
    public void reply(VirtualControlPlane from, Message message) {
        // The age is of now, where the answer is made: the way back does not matter.
        Message.PollReply reply = (Message.PollReply) message;
        if (reply.quorumAgeMs() <= QUORUM_AGE_MS) {
            long generation =
                    Optional.ofNullable(reply.value()).map(RegisterValue::generation).orElse(0L);
            world.checker()
                    .vouchedFor(from.name(), generation, time.getAsLong() - reply.quorumAgeMs());
        }
    }
}
