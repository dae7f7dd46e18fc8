package poppynotch.fleet.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import poppynotch.fleet.lease.DutyClient;
import poppynotch.fleet.lease.Ledger;
import poppynotch.fleet.membership.Message;

/** Questions to keepers and their answers. */
public final class DutyCodec {

    /** The letter under which they travel; see {@link Riders}. */
    public static final String LETTER = "d";

    private DutyCodec() {}

    /** A question; whom it goes to is not in it. */
    public static ByteBuffer question(DutyClient.Question question) {
        try {
            return ByteBuffer.wrap(
                    new Values.Plain()
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
    public static DutyClient.Question question(ByteBuffer bytes) throws IOException {
        Values.Reader in = new Values.Reader(Message.bytes(bytes));
        return new DutyClient.Question("", in.command(), in.small());
    }

    /** An answer. */
    public static ByteBuffer answer(DutyClient.Answer answer) {
        try {
            Values.Plain out =
                    new Values.Plain()
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
    public static DutyClient.Answer answer(ByteBuffer bytes) throws IOException {
        Values.Reader in = new Values.Reader(Message.bytes(bytes));
        boolean done = in.flag();
        String leader = in.text();
        Ledger.Duty duty = in.flag() ? in.duty() : null;
        return new DutyClient.Answer(done, duty, leader);
    }
}
