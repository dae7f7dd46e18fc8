package poppynotch.fleet.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import poppynotch.fleet.lease.LeaseClient;
import poppynotch.fleet.lease.LeaseTable;
import poppynotch.fleet.membership.Message;

/**
 * Encodes and decodes the messages of the lease protocol: questions of a lease client to the Raft
 * servers, and their answers. Stateless.
 */
public final class LeaseCodec {

    /** The letter of these messages in a {@link CompositePayload}. */
    public static final String LETTER = "d";

    private LeaseCodec() {}

    /** Encodes a question, without the name of the server that it is sent to. */
    public static ByteBuffer encodeQuestion(LeaseClient.Request question) {
        try {
            return ByteBuffer.wrap(
                    new CborSequence.PlainWriter()
                            .command(question.command())
                            .number(question.preference())
                            .bytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
    }

    /**
     * Decodes a question.
     *
     * @throws IOException if the bytes are not a valid question
     */
    public static LeaseClient.Request decodeQuestion(ByteBuffer bytes) throws IOException {
        CborSequence.Reader in = new CborSequence.Reader(Message.toBytes(bytes));
        return new LeaseClient.Request("", in.command(), in.nonNegativeInt());
    }

    /** Encodes an answer. */
    public static ByteBuffer encodeAnswer(LeaseClient.Response answer) {
        try {
            CborSequence.PlainWriter out =
                    new CborSequence.PlainWriter()
                            .flag(answer.accepted())
                            .text(answer.leader())
                            .flag(answer.lease() != null);
            return ByteBuffer.wrap(
                    (answer.lease() == null ? out : out.lease(answer.lease())).bytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
    }

    /**
     * Decodes an answer.
     *
     * @throws IOException if the bytes are not a valid answer
     */
    public static LeaseClient.Response decodeAnswer(ByteBuffer bytes) throws IOException {
        CborSequence.Reader in = new CborSequence.Reader(Message.toBytes(bytes));
        boolean isAccepted = in.flag();
        String leader = in.text();
        LeaseTable.Lease lease = in.flag() ? in.lease() : null;
        return new LeaseClient.Response(isAccepted, lease, leader);
    }
}
