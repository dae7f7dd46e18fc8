package poppynotch.fleet.membership;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * What one process sends another. All kinds have the same fields; those that a kind has no use for
 * are empty.
 *
 * @param kind what is asked or answered
 * @param from the sender's name
 * @param address where the sender wants its answers
 * @param run the sender's process
 * @param sequence pairs answers with what they answer
 * @param target whom a probe by way of another is for
 * @param targetAddress where that one listens
 * @param digest of the sender's view
 * @param buckets digests of the sender's table by bucket, or, in an answer, the numbers of those
 *     that differ
 * @param updates what the sender tells on
 * @param rider bytes for the state that processes share: what an answer takes along, a question, or
 *     the answer to one; mostly none
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
        ByteBuffer rider) {

    /** No rider. */
    public static final ByteBuffer NOTHING = ByteBuffer.allocate(0).asReadOnlyBuffer();

    /** A message without a rider. */
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
                NOTHING);
    }

    /** What is left in a buffer, which stays as it is. */
    public static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    /** What a message is for. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am; or, from one that asked for another: it is. */
        ACK,
        /** I asked it for you and have no answer, but I am here. */
        NACK,
        /** Ask another for me. */
        PING_REQUEST,
        /** News, with no answer wanted. */
        GOSSIP,
        /** The digests of my table: what do you hold that I do not? */
        SYNC_ASK,
        /** What differs at my side. */
        SYNC_REPLY,
        /** And what differs at mine. */
        SYNC_PUSH,
        /** A question of the state that processes share; what it is stands in the rider. */
        ASK,
        /** The answer to it. */
        TELL;

        /** Part of an exchange of whole tables. */
        boolean isTableExchange() {
            return this == SYNC_ASK || this == SYNC_REPLY || this == SYNC_PUSH;
        }
    }
}
