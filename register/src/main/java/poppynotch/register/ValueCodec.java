package poppynotch.register;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes ballots and values as {@code DataOutputStream} records. */
public final class ValueCodec {

    /** More than any document: a longer one is a damaged record. */
    private static final int MOST_BYTES = 16 * 1024 * 1024;

    private static final int MOST_ENTRIES = 4096;

    private ValueCodec() {}

    /** Writes a ballot in 16 bytes. */
    public static void writeBallot(DataOutputStream out, Ballot ballot) throws IOException {
        out.writeLong(ballot.counter());
        out.writeLong(ballot.proposer());
    }

    /** Reads what {@link #writeBallot} wrote. */
    public static Ballot readBallot(DataInputStream in) throws IOException {
        return new Ballot(in.readLong(), in.readLong());
    }

    /** Writes a whole value. */
    public static void writeValue(DataOutputStream out, RegisterValue value) throws IOException {
        out.writeLong(value.revision());
        writeStrings(out, value.acceptors().members());
        writeStrings(out, value.acceptors().former());
        out.writeLong(value.generation());
        out.writeInt(value.document().length);
        out.write(value.document());
        out.writeInt(value.history().size());
        for (AppliedChange change : value.history()) {
            out.writeLong(change.digest());
            out.writeLong(change.generation());
        }
    }

    /** Reads what {@link #writeValue} wrote; an {@code IOException} says that it is damaged. */
    public static RegisterValue readValue(DataInputStream in) throws IOException {
        long revision = in.readLong();
        AcceptorSet acceptors = new AcceptorSet(readStrings(in), readStrings(in));
        long generation = in.readLong();
        byte[] document = new byte[bounded(in.readInt(), MOST_BYTES)];
        in.readFully(document);
        int count = bounded(in.readInt(), MOST_ENTRIES);
        List<AppliedChange> history = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            history.add(new AppliedChange(in.readLong(), in.readLong()));
        }
        return new RegisterValue(revision, acceptors, generation, document, history);
    }

    /** Writes a list of strings with its length. */
    public static void writeStrings(DataOutputStream out, List<String> strings) throws IOException {
        out.writeInt(strings.size());
        for (String string : strings) {
            out.writeUTF(string);
        }
    }

    /** Reads what {@link #writeStrings} wrote. */
    public static List<String> readStrings(DataInputStream in) throws IOException {
        int count = bounded(in.readInt(), MOST_ENTRIES);
        List<String> strings = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            strings.add(in.readUTF());
        }
        return strings;
    }

    private static int bounded(int length, int most) throws IOException {
        if (length < 0 || length > most) {
            throw new IOException("a length of " + length + " in a record");
        }
        return length;
    }
}
