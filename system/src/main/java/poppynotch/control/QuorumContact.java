package poppynotch.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import poppynotch.register.AcceptorSet;

/**
 * How long ago other core processes were last heard to have heard this one. It is told the time.
 */
public final class QuorumContact {

    private final String self;

    /** When the latest heartbeat that a peer has echoed was sent. */
    private final Map<String, Long> contactMs = new HashMap<>();

    /** No contact yet but with oneself. */
    public QuorumContact(String self) {
        this.self = self;
    }

    /** A peer has echoed a heartbeat that was sent at that time. */
    public void echoed(String peer, long sentMs) {
        contactMs.merge(peer, sentMs, Math::max);
    }

    /** Time since the last contact with a peer; very long if there was none. */
    public long ageMs(long nowMs, String peer) {
        Long at = contactMs.get(peer);
        return peer.equals(self) ? 0 : at == null ? Integer.MAX_VALUE : nowMs - at;
    }

    /** The shortest time within which a quorum was in contact. */
    public long quorumAgeMs(long nowMs, AcceptorSet acceptors) {
        long[] ages =
                acceptors.everyone().stream()
                        .mapToLong(peer -> ageMs(nowMs, peer))
                        .sorted()
                        .toArray();
        Set<String> within = new HashSet<>();
        for (long age : ages) {
            acceptors.everyone().stream()
                    .filter(peer -> ageMs(nowMs, peer) <= age)
                    .forEach(within::add);
            if (acceptors.isQuorum(within)) {
                return age;
            }
        }
        return Integer.MAX_VALUE;
    }
}
