package poppynotch.register;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Binary encoding of ballots and values, on disk and on the wire: {@code DataOutputStream} records
 * with the fields in a fixed order. Reading throws {@link MalformedRecordException} for lengths out
 * of range and {@code EOFException} for truncated records.
 */
public final class ValueCodec {

    /** The longest valid document; a longer one indicates a damaged record. */
    private static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

    /** The longest valid list of addresses or changes; a longer one indicates a damaged record. */
    private static final int MAX_LIST_LENGTH = 4096;

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

    /**
     * Writes a value as the last field of a record, followed by fields that were added later, which
     * readers of earlier versions ignore. A value without these is written as by earlier versions.
     */
    public static void writeLastValue(DataOutputStream out, RegisterValue value)
            throws IOException {
        writeValue(out, value);
        boolean hasRollouts = value.rollouts().length > 0;
        if (value.acceptorEpoch() > 0 || hasRollouts) {
            out.writeLong(value.acceptorEpoch());
        }
        if (hasRollouts) {
            writeBytes(out, value.rollouts());
        }
    }

    /** Reads what {@link #writeLastValue} wrote, in this version or an earlier one. */
    public static RegisterValue readLastValue(DataInputStream in) throws IOException {
        RegisterValue value = readValue(in);
        if (in.available() >= Long.BYTES) {
            value = value.withAcceptorEpoch(in.readLong());
        }
        return in.available() > 0 ? value.withStoredRollouts(readBytes(in)) : value;
    }

    /** Writes a value between other fields; its acceptor epoch and rollouts are left out. */
    public static void writeValue(DataOutputStream out, RegisterValue value) throws IOException {
        out.writeLong(value.revision());
        writeStrings(out, value.acceptors().members());
        writeStrings(out, value.acceptors().former());
        out.writeLong(value.generation());
        writeBytes(out, value.document());
        out.writeInt(value.history().size());
        for (AppliedChange change : value.history()) {
            out.writeLong(change.digest());
            out.writeLong(change.generation());
        }
    }

    /** Reads what {@link #writeValue} wrote. */
    public static RegisterValue readValue(DataInputStream in) throws IOException {
        long revision = in.readLong();
        AcceptorSet acceptors = new AcceptorSet(readStrings(in), readStrings(in));
        long generation = in.readLong();
        byte[] document = readBytes(in);
        int count = readLength(in, MAX_LIST_LENGTH);
        List<AppliedChange> history = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            history.add(new AppliedChange(in.readLong(), in.readLong()));
        }
        return new RegisterValue(revision, acceptors, generation, document, history, 0);
    }

    /** Writes the number of bytes, then the bytes. */
    public static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    /** Reads what {@link #writeBytes} wrote. */
    public static byte[] readBytes(DataInputStream in) throws IOException {
        byte[] bytes = new byte[readLength(in, MAX_DOCUMENT_BYTES)];
        in.readFully(bytes);
        return bytes;
    }

    /** Writes the length of a list, then its strings. */
    public static void writeStrings(DataOutputStream out, List<String> strings) throws IOException {
        out.writeInt(strings.size());
        for (String string : strings) {
            out.writeUTF(string);
        }
    }

    /** Reads what {@link #writeStrings} wrote. */
    public static List<String> readStrings(DataInputStream in) throws IOException {
        int count = readLength(in, MAX_LIST_LENGTH);
        List<String> strings = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            strings.add(in.readUTF());
        }
        return strings;
    }

    private static int readLength(DataInputStream in, int maxLength) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > maxLength) {
            throw new MalformedRecordException("length=" + length + ", allowed 0.." + maxLength);
        }
        return length;
    }
}
