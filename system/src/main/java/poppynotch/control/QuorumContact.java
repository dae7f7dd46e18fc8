package poppynotch.control;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;

/**
 * The replies of peers to a control-plane replica's heartbeats. They determine how long ago each
 * peer was in contact, and until when a quorum has confirmed this replica's newest value as
 * current.
 *
 * <p>A value is confirmed for the time at which a heartbeat was sent if a quorum of its acceptors
 * replied to that heartbeat, or a later one, without having accepted anything above the value's
 * ballot: a newer value chosen by then would have been accepted by one of them.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread; time is passed in.
 */
public final class QuorumContact {

    private static final long NO_REPLY_AGE_MS = Integer.MAX_VALUE;

    /**
     * A peer's latest reply.
     *
     * @param sentMs when the heartbeat that it replied to was sent
     */
    private record LatestReply(
            long sentMs, boolean isVoting, Ballot accepted, Ballot persistedBallot) {}

    private final String self;
    private final Map<String, LatestReply> latestReplies = new HashMap<>();

    /** For each replica, the latest time for which it has confirmed this replica's newest value. */
    private final Map<String, Long> confirmedUntilMs = new HashMap<>();

    /** The ballot of the value that all latest replies were compared with; null for none. */
    private Ballot recordedBallot;

    /** Creates the state of a replica that has had no contact with its peers yet. */
    public QuorumContact(String self) {
        this.self = self;
    }

    /**
     * Records a peer's reply to a heartbeat. It is ignored if the peer has already replied to a
     * later heartbeat.
     *
     * @param sentMs when that heartbeat was sent
     * @param isVoting whether the peer's acceptor may vote
     * @param accepted the ballot that it accepted last
     * @param persistedBallot the ballot of the newest value that it has on disk
     */
    public void onHeartbeatReply(
            String peer, long sentMs, boolean isVoting, Ballot accepted, Ballot persistedBallot) {
        LatestReply previous = latestReplies.get(peer);
        if (previous == null || sentMs >= previous.sentMs()) {
            latestReplies.put(peer, new LatestReply(sentMs, isVoting, accepted, persistedBallot));
            recordedBallot = null;
        }
    }

    /** Time in ms since the last contact with a peer; {@code Integer.MAX_VALUE} for none. */
    public long contactAgeMs(long nowMs, String peer) {
        if (peer.equals(self)) {
            return 0;
        }
        LatestReply latest = latestReplies.get(peer);
        return latest == null ? NO_REPLY_AGE_MS : nowMs - latest.sentMs();
    }

    /**
     * The ballot of the newest value that a peer is known to have on disk; zero if it can't vote.
     */
    public Ballot persistedBallot(String peer) {
        LatestReply latest = latestReplies.get(peer);
        return latest == null || !latest.isVoting() ? Ballot.ZERO : latest.persistedBallot();
    }

    /** The peers that may vote and whose newest value on disk has this ballot. */
    public Set<String> persistedAt(Ballot ballot) {
        Set<String> peers = new HashSet<>();
        latestReplies.forEach(
                (peer, reply) -> {
                    if (reply.isVoting() && reply.persistedBallot().equals(ballot)) {
                        peers.add(peer);
                    }
                });
        return peers;
    }

    /**
     * Records which replicas confirm this replica's newest value as current. Must be called after
     * each change of that value, after each reply, and before {@link #confirmedAgeMs}.
     *
     * @param valueBallot the ballot of that value; it never decreases
     * @param selfIsVoting whether this process's acceptor may vote
     * @param selfAccepted the ballot that it accepted last
     */
    public void recordConfirmations(
            long nowMs, Ballot valueBallot, boolean selfIsVoting, Ballot selfAccepted) {
        if (!valueBallot.equals(recordedBallot)) {
            recordedBallot = valueBallot;
            latestReplies.forEach(
                    (peer, reply) -> {
                        if (reply.isVoting() && reply.accepted().compareTo(valueBallot) <= 0) {
                            confirmedUntilMs.merge(peer, reply.sentMs(), Math::max);
                        }
                    });
        }
        if (selfIsVoting && selfAccepted.compareTo(valueBallot) <= 0) {
            confirmedUntilMs.put(self, nowMs);
        }
    }

    /**
     * Time in ms since a quorum last confirmed this replica's newest value; {@code
     * Integer.MAX_VALUE} if none ever did. While the acceptor set changes, both the old and the new
     * set must have confirmed it.
     */
    public long confirmedAgeMs(long nowMs, AcceptorSet acceptors) {
        long membersAgeMs = majorityAgeMs(nowMs, acceptors.members());
        return acceptors.isChanging()
                ? Math.max(membersAgeMs, majorityAgeMs(nowMs, acceptors.former()))
                : membersAgeMs;
    }

    private long majorityAgeMs(long nowMs, List<String> members) {
        long[] agesMs = new long[members.size()];
        for (int i = 0; i < agesMs.length; i++) {
            Long confirmed = confirmedUntilMs.get(members.get(i));
            agesMs[i] = confirmed == null ? NO_REPLY_AGE_MS : nowMs - confirmed;
        }
        Arrays.sort(agesMs);
        return agesMs[agesMs.length / 2];
    }
}
