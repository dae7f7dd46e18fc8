package poppynotch.fleet.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Message;

/**
 * Messages as CBOR (RFC 8949). A message is a map with short keys; keys that are not known are
 * passed over, so a later version may add some. {@code v} is the version that wrote it, {@code c}
 * the oldest that can read it.
 */
public final class MessageCodec {

    /** The version written here. */
    public static final int VERSION = 1;

    /** The oldest version that can read what is written here. */
    private static final int COMPATIBLE_VERSION = 1;

    /** A datagram's bytes at most: what passes an Ethernet in one piece, with room for tunnels. */
    public static final int MAX_DATAGRAM_BYTES = 1400;

    /** A table's bytes at most, some 4,000 members. */
    public static final int MAX_TABLE_BYTES = 512 << 10;

    /** More updates than this are no table of a fleet that this is made for. */
    private static final int MAX_UPDATES = 20_000;

    private static final CBORFactory FACTORY = new CBORFactory();
    private static final Message.Kind[] KINDS = Message.Kind.values();
    private static final MemberState[] STATES = MemberState.values();
    private static final MemberProfile.Phase[] PHASES = MemberProfile.Phase.values();

    private final String fleet;

    /** Messages of the fleet of this name, and of no other. */
    public MessageCodec(String fleet) {
        this.fleet = fleet;
    }

    /** The bytes of a message. */
    public byte[] encode(Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
            out.writeStartObject();
            number(out, "v", VERSION);
            number(out, "c", COMPATIBLE_VERSION);
            out.writeStringField("f", fleet);
            number(out, "k", message.kind().ordinal());
            out.writeStringField("n", message.from());
            out.writeStringField("a", message.address());
            number(out, "r", message.run());
            number(out, "s", message.sequence());
            text(out, "t", message.target());
            text(out, "ta", message.targetAddress());
            number(out, "d", message.digest());
            if (!message.buckets().isEmpty()) {
                out.writeArrayFieldStart("b");
                for (long bucket : message.buckets()) {
                    out.writeNumber(bucket);
                }
                out.writeEndArray();
            }
            if (!message.updates().isEmpty()) {
                out.writeArrayFieldStart("u");
                for (MemberUpdate update : message.updates()) {
                    write(out, update);
                }
                out.writeEndArray();
            }
            if (message.rider().hasRemaining()) {
                out.writeFieldName("x");
                out.writeBinary(Message.bytes(message.rider()));
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return bytes.toByteArray();
    }

    private static void number(CBORGenerator out, String key, long value) throws IOException {
        out.writeFieldName(key);
        out.writeNumber(value);
    }

    private static void text(CBORGenerator out, String key, String value) throws IOException {
        if (!value.isEmpty()) {
            out.writeStringField(key, value);
        }
    }

    private static void write(CBORGenerator out, MemberUpdate update) throws IOException {
        out.writeStartObject();
        out.writeStringField("n", update.name());
        out.writeStringField("a", update.address());
        number(out, "i", update.incarnation());
        number(out, "r", update.run());
        number(out, "s", update.state().ordinal());
        text(out, "b", update.by());
        if (update.ageMs() != 0) {
            number(out, "o", update.ageMs());
        }
        MemberProfile profile = update.profile();
        if (profile != null) {
            out.writeObjectFieldStart("p");
            text(out, "z", profile.zone());
            text(out, "t", profile.tier());
            text(out, "v", profile.version());
            number(out, "h", profile.phase().ordinal());
            text(out, "d", profile.door());
            out.writeEndObject();
        }
        out.writeEndObject();
    }

    /**
     * Reads a message.
     *
     * @throws BadMessage whatever the bytes are, if they are no message of this fleet and a version
     *     that can be read
     */
    public Message decode(byte[] bytes) throws MalformedMessageException {
        try (JsonParser in = FACTORY.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("not a message");
            }
            return read(in);
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessageException("not a whole message");
        }
    }

    private Message read(JsonParser in) throws IOException, MalformedMessageException {
        int compatible = -1;
        String of = "";
        Message.Kind kind = null;
        String from = "";
        String address = "";
        long run = -1;
        long sequence = 0;
        String target = "";
        String targetAddress = "";
        long digest = 0;
        List<Long> buckets = List.of();
        List<MemberUpdate> updates = List.of();
        ByteBuffer rider = Message.NOTHING;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "c" -> compatible = in.getIntValue();
                case "f" -> of = word(in);
                case "k" -> kind = one(KINDS, in);
                case "n" -> from = word(in);
                case "a" -> address = address(in);
                case "r" -> run = in.getLongValue();
                case "s" -> sequence = in.getLongValue();
                case "t" -> target = word(in);
                case "ta" -> targetAddress = address(in);
                case "d" -> digest = in.getLongValue();
                case "b" -> buckets = buckets(in);
                case "u" -> updates = updates(in);
                case "x" -> rider = ByteBuffer.wrap(in.getBinaryValue()).asReadOnlyBuffer();
                default -> in.skipChildren();
            }
        }
        if (compatible < 0 || from.isEmpty() || address.isEmpty() || run < 0) {
            throw new MalformedMessageException("not a whole message");
        }
        if (!of.equals(fleet)) {
            throw new MalformedMessageException("of another fleet");
        }
        if (compatible > VERSION) {
            throw new MalformedMessageException("of a version that this one cannot read");
        }
        boolean wantsTarget =
                kind == Message.Kind.PING
                        || kind == Message.Kind.PING_REQUEST
                        || kind == Message.Kind.ASK;
        if (kind == null
                || wantsTarget && target.isEmpty()
                || kind == Message.Kind.PING_REQUEST && targetAddress.isEmpty()) {
            throw new MalformedMessageException("not a whole message");
        }
        return new Message(
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
                rider);
    }

    private static <T> T one(T[] all, JsonParser in) throws IOException, MalformedMessageException {
        int number = in.getIntValue();
        if (number < 0 || number >= all.length) {
            throw new MalformedMessageException("a word that is not known");
        }
        return all[number];
    }

    private static String word(JsonParser in) throws IOException, MalformedMessageException {
        String text = in.currentToken() == JsonToken.VALUE_STRING ? in.getText() : "";
        if (!MemberProfile.isWord(text)) {
            throw new MalformedMessageException("a name that cannot be one");
        }
        return text;
    }

    /** An IP address and a port: no name is ever looked up, as that would wait. */
    private static String address(JsonParser in) throws IOException, MalformedMessageException {
        String text = word(in);
        if (!Addresses.isAddress(text)) {
            throw new MalformedMessageException("an address that cannot be one");
        }
        return text;
    }

    private static List<Long> buckets(JsonParser in) throws IOException, MalformedMessageException {
        List<Long> buckets = new ArrayList<>();
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new MalformedMessageException("not a whole message");
        }
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (buckets.size() == 256) {
                throw new MalformedMessageException("a longer list than any");
            }
            buckets.add(in.getLongValue());
        }
        return buckets;
    }

    private static List<MemberUpdate> updates(JsonParser in)
            throws IOException, MalformedMessageException {
        List<MemberUpdate> updates = new ArrayList<>();
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new MalformedMessageException("not a whole message");
        }
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (updates.size() == MAX_UPDATES) {
                throw new MalformedMessageException("a longer list than any");
            }
            updates.add(update(in));
        }
        return updates;
    }

    private static MemberUpdate update(JsonParser in)
            throws IOException, MalformedMessageException {
        String name = "";
        String address = "";
        long incarnation = -1;
        long run = -1;
        MemberState state = null;
        String by = "";
        MemberProfile profile = null;
        long age = 0;
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new MalformedMessageException("not a whole message");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "n" -> name = word(in);
                case "a" -> address = address(in);
                case "i" -> incarnation = in.getLongValue();
                case "r" -> run = in.getLongValue();
                case "s" -> state = one(STATES, in);
                case "b" -> by = word(in);
                case "p" -> profile = profile(in);
                case "o" -> age = in.getLongValue();
                default -> in.skipChildren();
            }
        }
        boolean whole =
                !name.isEmpty()
                        && !address.isEmpty()
                        && state != null
                        && run >= 0
                        && age >= 0
                        && incarnation > 0
                        && incarnation <= MemberUpdate.MAX_INCARNATION;
        if (!whole) {
            throw new MalformedMessageException("a claim that is not whole");
        }
        return new MemberUpdate(name, address, incarnation, run, state, by, profile, age);
    }

    private static MemberProfile profile(JsonParser in)
            throws IOException, MalformedMessageException {
        String zone = "";
        String tier = "";
        String version = "";
        String door = "";
        MemberProfile.Phase phase = MemberProfile.Phase.STARTING;
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new MalformedMessageException("not a whole message");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "z" -> zone = word(in);
                case "t" -> tier = word(in);
                case "v" -> version = word(in);
                case "h" -> phase = one(PHASES, in);
                case "d" -> door = word(in);
                default -> in.skipChildren();
            }
        }
        return new MemberProfile(zone, tier, version, phase, door);
    }
}
