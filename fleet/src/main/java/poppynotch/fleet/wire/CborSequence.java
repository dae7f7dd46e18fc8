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
 * A sequence of CBOR values (RFC 8742), one after the other, with the words that duties are told
 * in.
 */
public class CborSequence {

    private static final CBORFactory FACTORY = new CBORFactory();
    private static final LeaseCommand.Kind[] KINDS = LeaseCommand.Kind.values();

    /** Longer texts are no names of ours. */
    private static final int MAX_TEXT_LENGTH = 96;

    private CborSequence() {}

    /**
     * Writes values.
     *
     * @param <W> the writer itself, with what it can write beside
     */
    public static class Writer<W extends Writer<W>> {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        private final CBORGenerator out;

        /** Begins with nothing written. */
        public Writer() throws IOException {
            out = FACTORY.createGenerator(bytes);
        }

        /** All that was written. */
        public final byte[] bytes() throws IOException {
            out.close();
            return bytes.toByteArray();
        }

        @SuppressWarnings("unchecked")
        private W self() {
            return (W) this;
        }

        /** A whole number. */
        public final W number(long value) throws IOException {
            out.writeNumber(value);
            return self();
        }

        /** A yes or no. */
        public final W flag(boolean value) throws IOException {
            out.writeBoolean(value);
            return self();
        }

        /** A short text. */
        public final W text(String value) throws IOException {
            out.writeString(value);
            return self();
        }

        /** A command. */
        public final W command(LeaseCommand command) throws IOException {
            return number(command.kind().ordinal())
                    .text(command.duty())
                    .text(command.member())
                    .number(command.run())
                    .number(command.token())
                    .number(command.renewal());
        }

        /** A duty. */
        public final W duty(LeaseTable.Lease duty) throws IOException {
            return text(duty.holder())
                    .number(duty.run())
                    .number(duty.token())
                    .number(duty.renewal())
                    .text(duty.wanted());
        }
    }

    /** Writes these alone. */
    static final class PlainWriter extends Writer<PlainWriter> {
        PlainWriter() throws IOException {
            // Nothing of its own.
        }
    }

    /** Reads them; an {@link IOException} whatever the bytes are. */
    public static class Reader {
        private final JsonParser in;

        /** Reads from the first value on. */
        public Reader(byte[] bytes) throws IOException {
            in = FACTORY.createParser(bytes);
        }

        /** A whole number. */
        public final long number() throws IOException {
            if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
                throw new IOException("a number is missing");
            }
            return in.getLongValue();
        }

        /** A whole number from 0 to 2^31 - 1. */
        public final int small() throws IOException {
            long value = number();
            if (value < 0 || value > Integer.MAX_VALUE) {
                throw new IOException("a number that cannot be one: " + value);
            }
            return (int) value;
        }

        /** A yes or no. */
        public final boolean flag() throws IOException {
            JsonToken token = in.nextToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw new IOException("a yes or no is missing");
            }
            return token == JsonToken.VALUE_TRUE;
        }

        /** A short text. */
        public final String text() throws IOException {
            if (in.nextToken() != JsonToken.VALUE_STRING || in.getTextLength() > MAX_TEXT_LENGTH) {
                throw new IOException("a text is missing or too long");
            }
            return in.getText();
        }

        /** A command. */
        public final LeaseCommand command() throws IOException {
            return new LeaseCommand(one(KINDS), text(), text(), number(), number(), number());
        }

        /** A duty. */
        public final LeaseTable.Lease duty() throws IOException {
            return new LeaseTable.Lease(text(), number(), number(), number(), text());
        }

        /** One of these, by its number. */
        public final <T> T one(T[] all) throws IOException {
            int number = small();
            if (number >= all.length) {
                throw new IOException("a word that is not known");
            }
            return all[number];
        }
    }
}
