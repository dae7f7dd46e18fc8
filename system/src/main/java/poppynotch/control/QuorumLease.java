package poppynotch.control;

import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.register.AcceptorSet;
import poppynotch.wire.Message;

/**
 * The time for which a control-plane replica may act on the newest value it knows: it lasts {@value
 * #DURATION_MS} ms from the last time for which a quorum of the acceptors confirmed that value as
 * current. Without it the replica sends edges no configuration and acknowledges no change.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread.
 */
final class QuorumLease {

    private static final Logger LOG = LoggerFactory.getLogger(QuorumLease.class);

    /** How long a quorum's confirmation is valid. */
    static final long DURATION_MS = 1000;

    private final RegisterReplica register;
    private final QuorumContact contact;
    private final LongSupplier clock;
    private boolean expiredAtLastCheck = true;

    /** Zero before the first expiry, so that a first lease counts as regained after a long time. */
    private long expiredSinceMs;

    /** Creates a lease that counts as expired until a quorum has confirmed a value. */
    QuorumLease(RegisterReplica register, QuorumContact contact, LongSupplier clock) {
        this.register = register;
        this.contact = contact;
        this.clock = clock;
    }

    /** Whether no quorum has confirmed the newest known value within the lease. */
    boolean isExpired() {
        return ageMs() > DURATION_MS;
    }

    /**
     * Time since a quorum last confirmed the newest known value; {@code Integer.MAX_VALUE} if none
     * ever did.
     */
    long ageMs() {
        AcceptorSet acceptors = register.acceptors();
        if (acceptors.members().isEmpty()) {
            return Integer.MAX_VALUE;
        }
        long nowMs = clock.getAsLong();
        recordConfirmations(nowMs);
        return contact.confirmedAgeMs(nowMs, acceptors);
    }

    /** Records a peer's reply to a heartbeat that was sent at {@code sentMs}. */
    void onHeartbeatReply(long nowMs, String peer, long sentMs, Message.HeartbeatReply reply) {
        contact.onHeartbeatReply(peer, sentMs, reply.mayVote(), reply.accepted(), reply.durable());
        register.onPersistedByPeers(contact::persistedAt);
        recordConfirmations(nowMs);
    }

    private void recordConfirmations(long nowMs) {
        contact.recordConfirmations(
                nowMs, register.chosenBallot(), register.mayVote(), register.acceptedBallot());
    }

    /**
     * Detects and logs that the lease has expired or was regained; to be called with each tick.
     *
     * @return if the lease was regained since the last call, how long it had been expired in ms
     */
    OptionalLong checkExpiry(long nowMs) {
        boolean wasExpired = expiredAtLastCheck;
        long ageMs = ageMs();
        expiredAtLastCheck = ageMs > DURATION_MS;
        if (expiredAtLastCheck == wasExpired) {
            return OptionalLong.empty();
        }
        if (expiredAtLastCheck) {
            expiredSinceMs = nowMs;
            LOG.info(
                    "Quorum lease expired: confirmedAgeMs={}, limitMs={}, acceptors={}",
                    ageMs,
                    DURATION_MS,
                    register.acceptors());
            return OptionalLong.empty();
        }
        long expiredForMs = nowMs - expiredSinceMs;
        LOG.info(
                "Quorum lease regained: confirmedAgeMs={}, expiredForMs={}, acceptors={}",
                ageMs,
                expiredForMs,
                register.acceptors());
        return OptionalLong.of(expiredForMs);
    }

    /** Whether the lease had expired when {@link #checkExpiry} was last called. */
    boolean wasExpiredAtLastCheck() {
        return expiredAtLastCheck;
    }
}
