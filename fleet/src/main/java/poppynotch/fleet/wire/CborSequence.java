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
 * them. They also know the records of leases, which several messages contain.
 *
 * <p>A writer or reader is used for one message, by one thread, and holds no resources beside
 * memory.
 */
public class CborSequence {

    private static final CBORFactory FACTORY = new CBORFactory();
    private static final LeaseCommand.Kind[] KINDS = LeaseCommand.Kind.values();

    /** A longer text is rejected, as no name is that long. */
    private static final int MAX_TEXT_LENGTH = 96;

    private CborSequence() {}

    /**
     * Writes values to memory.
     *
     * @param <W> the type of the writer itself, which may have further methods
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

    /** A writer without further methods. */
    static final class PlainWriter extends Writer<PlainWriter> {
        PlainWriter() throws IOException {
            // It has no state of its own.
        }
    }

    /**
     * Reads values. Each method throws an {@link IOException} if the next value is not of its type,
     * whatever the bytes are.
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
                throw new IOException("a number is missing");
            }
            return in.getLongValue();
        }

        /** Reads an integer from 0 to 2^31 - 1. */
        public final int nonNegativeInt() throws IOException {
            long value = number();
            if (value < 0 || value > Integer.MAX_VALUE) {
                throw new IOException("a number that cannot be one: " + value);
            }
            return (int) value;
        }

        /** Reads a boolean. */
        public final boolean flag() throws IOException {
            JsonToken token = in.nextToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw new IOException("a yes or no is missing");
            }
            return token == JsonToken.VALUE_TRUE;
        }

        /** Reads a text of at most {@value #MAX_TEXT_LENGTH} characters. */
        public final String text() throws IOException {
            if (in.nextToken() != JsonToken.VALUE_STRING || in.getTextLength() > MAX_TEXT_LENGTH) {
                throw new IOException("a text is missing or too long");
            }
            return in.getText();
        }

        /** Reads a command of the lease log. */
        public final LeaseCommand command() throws IOException {
            return new LeaseCommand(enumValue(KINDS), text(), text(), number(), number(), number());
        }

        /** Reads a lease. */
        public final LeaseTable.Lease lease() throws IOException {
            return new LeaseTable.Lease(text(), number(), number(), number(), text());
        }

        /** Reads the constant of an enum by its ordinal. */
        public final <T> T enumValue(T[] constants) throws IOException {
            int ordinal = nonNegativeInt();
            if (ordinal >= constants.length) {
                throw new IOException("a word that is not known");
            }
            return constants[ordinal];
        }
    }
}
