package poppynotch.control;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;

/**
 * What other core processes have echoed of this one's heartbeats: how long ago it was heard, and up
 * to when the value that this process holds was surely the newest. It is told the time.
 *
 * <p>A value is confirmed for the moment at which a heartbeat was sent if a quorum of its acceptors
 * echoed that heartbeat, or a later one, without having accepted anything above the value's ballot:
 * whatever had been chosen by then would have been accepted by one of them.
 */
public final class QuorumContact {

    /**
     * What a peer last echoed.
     *
     * @param sentMs when the echoed heartbeat was sent
     */
    private record Echo(long sentMs, boolean votes, Ballot accepted, Ballot kept) {}

    private final String self;
    private final Map<String, Echo> echoes = new HashMap<>();

    /** For each core process, the latest time for which it has confirmed the value held here. */
    private final Map<String, Long> confirmedMs = new HashMap<>();

    /** No contact yet but with oneself. */
    public QuorumContact(String self) {
        this.self = self;
    }

    /**
     * A peer has echoed a heartbeat.
     *
     * @param sentMs when that heartbeat was sent
     * @param votes whether the peer's acceptor may vote
     * @param accepted the ballot that it accepted last
     * @param kept the ballot of the newest value that it has on disk
     */
    public void echoed(String peer, long sentMs, boolean votes, Ballot accepted, Ballot kept) {
        Echo before = echoes.get(peer);
        if (before == null || sentMs >= before.sentMs()) {
            echoes.put(peer, new Echo(sentMs, votes, accepted, kept));
        }
    }

    /** Time since the last contact with a peer; very long if there was none. */
    public long ageMs(long nowMs, String peer) {
        Echo last = echoes.get(peer);
        return peer.equals(self) ? 0 : last == null ? Integer.MAX_VALUE : nowMs - last.sentMs();
    }

    /** The ballot of the newest value that a peer was last known to have on disk. */
    public Ballot kept(String peer) {
        Echo last = echoes.get(peer);
        return last == null || !last.votes() ? Ballot.ZERO : last.kept();
    }

    /** Whether a peer's acceptor was last known to vote. */
    public boolean votes(String peer) {
        Echo last = echoes.get(peer);
        return last != null && last.votes();
    }

    /**
     * Takes note of who confirms the value held here; to be called with each change of what is held
     * or echoed, and before {@link #confirmedAgeMs}.
     *
     * @param held the ballot of that value; it never goes back
     * @param ownVotes whether this process's acceptor may vote
     * @param ownAccepted the ballot that it accepted last
     */
    public void confirm(long nowMs, Ballot held, boolean ownVotes, Ballot ownAccepted) {
        echoes.forEach(
                (peer, echo) -> {
                    if (echo.votes() && echo.accepted().compareTo(held) <= 0) {
                        confirmedMs.merge(peer, echo.sentMs(), Math::max);
                    }
                });
        if (ownVotes && ownAccepted.compareTo(held) <= 0) {
            confirmedMs.put(self, nowMs);
        }
    }

    /** The shortest time since which a quorum has confirmed the value held here. */
    public long confirmedAgeMs(long nowMs, AcceptorSet acceptors) {
        long ofMembers = majorityAgeMs(nowMs, acceptors.members());
        return acceptors.isChanging()
                ? Math.max(ofMembers, majorityAgeMs(nowMs, acceptors.former()))
                : ofMembers;
    }

    private long majorityAgeMs(long nowMs, List<String> members) {
        long[] ages = new long[members.size()];
        for (int i = 0; i < ages.length; i++) {
            Long at = confirmedMs.get(members.get(i));
            ages[i] = at == null ? Integer.MAX_VALUE : nowMs - at;
        }
        Arrays.sort(ages);
        return ages[ages.length / 2];
    }
}
