package poppynotch.fleet.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import poppynotch.fleet.lease.LeaseClient;
import poppynotch.fleet.lease.LeaseTable;
import poppynotch.fleet.membership.Message;

/** Questions to keepers and their answers. */
public final class LeaseCodec {

    /** The letter under which they travel; see {@link CompositePayload}. */
    public static final String LETTER = "d";

    private LeaseCodec() {}

    /** A question; whom it goes to is not in it. */
    public static ByteBuffer question(LeaseClient.Question question) {
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
     * Reads a question.
     *
     * @throws IOException if it is none
     */
    public static LeaseClient.Question question(ByteBuffer bytes) throws IOException {
        CborSequence.Reader in = new CborSequence.Reader(Message.bytes(bytes));
        return new LeaseClient.Question("", in.command(), in.small());
    }

    /** An answer. */
    public static ByteBuffer answer(LeaseClient.Answer answer) {
        try {
            CborSequence.PlainWriter out =
                    new CborSequence.PlainWriter()
                            .flag(answer.done())
                            .text(answer.leader())
                            .flag(answer.duty() != null);
            return ByteBuffer.wrap((answer.duty() == null ? out : out.duty(answer.duty())).bytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
    }

    /**
     * Reads an answer.
     *
     * @throws IOException if it is none
     */
    public static LeaseClient.Answer answer(ByteBuffer bytes) throws IOException {
        CborSequence.Reader in = new CborSequence.Reader(Message.bytes(bytes));
        boolean done = in.flag();
        String leader = in.text();
        LeaseTable.Lease duty = in.flag() ? in.duty() : null;
        return new LeaseClient.Answer(done, duty, leader);
    }
}
