package poppynotch.fleet.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseTable;

/**
 * Writer and reader of CBOR sequences (RFC 8742): values one after the other, without a map around
 * them. They also encode leases and lease commands, which several messages contain.
 *
 * <p>A writer or reader is used for one message, by one thread, and holds no resources besides
 * memory.
 */
public class CborSequence {

    private static final CBORFactory FACTORY = new CBORFactory();
    private static final LeaseCommand.Kind[] LEASE_COMMAND_KINDS = LeaseCommand.Kind.values();

    /** Maximum length of a text. Names are shorter; a longer text is rejected. */
    private static final int MAX_TEXT_LENGTH = 96;

    private CborSequence() {}

    /**
     * Writes values to memory.
     *
     * @param <W> the type of the writer itself, so that subclasses can add methods
     */
    public static class Writer<W extends Writer<W>> {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        private final CBORGenerator out;

        /** Creates a writer without any values. */
        public Writer() throws IOException {
            out = FACTORY.createGenerator(bytes);
        }

        /** Ends the sequence and returns its bytes. */
        public final byte[] bytes() throws IOException {
            out.close();
            return bytes.toByteArray();
        }

        @SuppressWarnings("unchecked")
        private W self() {
            return (W) this;
        }

        /** Writes an integer. */
        public final W number(long value) throws IOException {
            out.writeNumber(value);
            return self();
        }

        /** Writes a boolean. */
        public final W flag(boolean value) throws IOException {
            out.writeBoolean(value);
            return self();
        }

        /** Writes a text; readers accept at most {@value #MAX_TEXT_LENGTH} characters. */
        public final W text(String value) throws IOException {
            out.writeString(value);
            return self();
        }

        /** Writes a command of the lease log. */
        public final W command(LeaseCommand command) throws IOException {
            return number(command.kind().ordinal())
                    .text(command.role())
                    .text(command.member())
                    .number(command.instanceId())
                    .number(command.token())
                    .number(command.renewalCount());
        }

        /** Writes a lease. */
        public final W lease(LeaseTable.Lease lease) throws IOException {
            return text(lease.holder())
                    .number(lease.holderInstanceId())
                    .number(lease.token())
                    .number(lease.renewalCount())
                    .text(lease.nextHolder());
        }
    }

    /** A writer without additional methods. */
    static final class PlainWriter extends Writer<PlainWriter> {
        PlainWriter() throws IOException {
            // No state of its own.
        }
    }

    /**
     * Reads values from untrusted bytes. Each method throws an {@link IOException} if the next
     * value is not of its type.
     */
    public static class Reader {
        private final JsonParser in;

        /** Creates a reader at the first value. */
        public Reader(byte[] bytes) throws IOException {
            in = FACTORY.createParser(bytes);
        }

        /** Reads an integer. */
        public final long number() throws IOException {
            if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
                throw new IOException("expected an integer in a CBOR sequence");
            }
            return in.getLongValue();
        }

        /** Reads an integer from 0 to 2^31 - 1. */
        public final int nonNegativeInt() throws IOException {
            long value = number();
            if (value < 0 || value > Integer.MAX_VALUE) {
                throw new IOException(
                        "integer in a CBOR sequence is negative or too large: " + value);
            }
            return (int) value;
        }

        /** Reads a boolean. */
        public final boolean flag() throws IOException {
            JsonToken token = in.nextToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw new IOException("expected a boolean in a CBOR sequence");
            }
            return token == JsonToken.VALUE_TRUE;
        }

        /** Reads a text of at most {@value #MAX_TEXT_LENGTH} characters. */
        public final String text() throws IOException {
            if (in.nextToken() != JsonToken.VALUE_STRING || in.getTextLength() > MAX_TEXT_LENGTH) {
                throw new IOException(
                        "expected a text of at most "
                                + MAX_TEXT_LENGTH
                                + " characters in a CBOR sequence");
            }
            return in.getText();
        }

        /** Reads a command of the lease log. */
        public final LeaseCommand command() throws IOException {
            return new LeaseCommand(
                    enumValue(LEASE_COMMAND_KINDS), text(), text(), number(), number(), number());
        }

        /** Reads a lease. */
        public final LeaseTable.Lease lease() throws IOException {
            return new LeaseTable.Lease(text(), number(), number(), number(), text());
        }

        /** Reads an enum constant, encoded as its ordinal. */
        public final <T> T enumValue(T[] constants) throws IOException {
            int ordinal = nonNegativeInt();
            if (ordinal >= constants.length) {
                throw new IOException("unknown enum ordinal in a CBOR sequence: " + ordinal);
            }
            return constants[ordinal];
        }
    }
}
