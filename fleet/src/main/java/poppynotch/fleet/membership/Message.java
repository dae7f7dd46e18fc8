package poppynotch.fleet.membership;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * One message between two processes. All kinds have the same fields; those that a kind does not use
 * are empty. Immutable.
 *
 * @param kind what is requested or answered
 * @param from name of the sending member
 * @param address where the sender receives answers, IP:port
 * @param run id of the sender's process, see {@link MemberUpdate#run}
 * @param sequence matches an answer to its request
 * @param target the member that an indirect probe is for
 * @param targetAddress where that member listens, IP:port
 * @param digest digest of the sender's view
 * @param buckets digests of the sender's table by bucket; in an answer, the numbers of the buckets
 *     that differ
 * @param updates updates about members
 * @param payload encoded state that processes share, in an acknowledgement, a question or an
 *     answer; usually empty
 */
public record Message(
        Kind kind,
        String from,
        String address,
        long run,
        long sequence,
        String target,
        String targetAddress,
        long digest,
        List<Long> buckets,
        List<MemberUpdate> updates,
        ByteBuffer payload) {

    /** An empty payload. */
    public static final ByteBuffer EMPTY_PAYLOAD = ByteBuffer.allocate(0).asReadOnlyBuffer();

    /** A message without a payload. */
    public Message(
            Kind kind,
            String from,
            String address,
            long run,
            long sequence,
            String target,
            String targetAddress,
            long digest,
            List<Long> buckets,
            List<MemberUpdate> updates) {
        this(
                kind,
                from,
                address,
                run,
                sequence,
                target,
                targetAddress,
                digest,
                buckets,
                updates,
                EMPTY_PAYLOAD);
    }

    /** Copies a buffer's remaining bytes; its position stays as it is. */
    public static byte[] toBytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    /** What a message is for. The order of the constants is part of the wire format. */
    public enum Kind {
        /** Probe of a member. */
        PING,
        /** Answer to a probe, from the member itself or from a proxy that probed it. */
        ACK,
        /** Answer of a proxy that is alive itself but got no answer from the probed member. */
        NACK,
        /** Asks a proxy to probe a member. */
        PING_REQUEST,
        /** Carries updates only, and is not answered. */
        GOSSIP,
        /** Begins a table exchange, with the digests of the sender's table. */
        SYNC_REQUEST,
        /** The differing entries of the member that was asked. */
        SYNC_REPLY,
        /** The differing entries of the member that asked. */
        SYNC_PUSH,
        /** A question about shared state, encoded in the payload. */
        QUESTION,
        /** The answer to such a question. */
        ANSWER;

        /** Whether the message is part of a table exchange. */
        boolean isTableExchange() {
            return this == SYNC_REQUEST || this == SYNC_REPLY || this == SYNC_PUSH;
        }
    }
}
