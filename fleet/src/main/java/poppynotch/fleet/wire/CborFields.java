package poppynotch.fleet.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import poppynotch.fleet.membership.MemberProfile;

/** Reads, validates and writes single fields of messages. */
final class CborFields {

    private CborFields() {}

    /** Writes a number under a key. */
    static void writeNumber(CBORGenerator out, String key, long value) throws IOException {
        out.writeFieldName(key);
        out.writeNumber(value);
    }

    /** Writes a text under a key, or nothing if it is empty. */
    static void writeTextIfPresent(CBORGenerator out, String key, String value) throws IOException {
        if (!value.isEmpty()) {
            out.writeStringField(key, value);
        }
    }

    /** Reads an enum constant, whose ordinal is the current value. */
    static <T> T readEnum(T[] constants, JsonParser in)
            throws IOException, MalformedMessageException {
        int ordinal = in.getIntValue();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new MalformedMessageException("a word that is not known");
        }
        return constants[ordinal];
    }

    /** Reads the current value as a name, see {@link MemberProfile#isValidName}. */
    static String readName(JsonParser in) throws IOException, MalformedMessageException {
        String text = in.currentToken() == JsonToken.VALUE_STRING ? in.getText() : "";
        if (!MemberProfile.isValidName(text)) {
            throw new MalformedMessageException("a name that cannot be one");
        }
        return text;
    }

    /**
     * Reads the current value as an IP address and a port. Host names are not accepted, as
     * resolving one would block.
     */
    static String readAddress(JsonParser in) throws IOException, MalformedMessageException {
        String text = readName(in);
        if (!Addresses.isAddress(text)) {
            throw new MalformedMessageException("an address that cannot be one");
        }
        return text;
    }

    /** Checks that the current token is the start of an object or of an array. */
    static void require(JsonToken expected, JsonParser in) throws MalformedMessageException {
        if (in.currentToken() != expected) {
            throw new MalformedMessageException("not a whole message");
        }
    }
}
