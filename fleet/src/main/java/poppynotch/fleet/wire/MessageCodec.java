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
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Message;

/**
 * Encodes and decodes messages as CBOR (RFC 8949). A message is a map with short keys; unknown keys
 * are ignored, so that a later version may add some. {@code v} is the version that wrote the
 * message, {@code c} the oldest version that can read it.
 *
 * <p>Immutable and thread-safe.
 */
public final class MessageCodec {

    /** The version of the format that this codec writes. */
    public static final int VERSION = 1;

    /** The oldest version that can read what this codec writes. */
    private static final int COMPATIBLE_VERSION = 1;

    /** Maximum size of a datagram: fits an Ethernet frame, with some room for tunnel headers. */
    public static final int MAX_DATAGRAM_BYTES = 1400;

    /** Maximum size of a message with a table, which then has some 4,000 members. */
    public static final int MAX_TABLE_BYTES = 512 << 10;

    /** Maximum number of updates in a message, above the size of any supported fleet. */
    private static final int MAX_UPDATES = 20_000;

    private static final int MAX_BUCKETS = 256;

    private static final CBORFactory FACTORY = new CBORFactory();
    private static final Message.Kind[] KINDS = Message.Kind.values();

    private final String fleet;

    /** Creates a codec for the messages of one fleet, which rejects those of other fleets. */
    public MessageCodec(String fleet) {
        this.fleet = fleet;
    }

    /** Encodes a message. */
    public byte[] encode(Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
            out.writeStartObject();
            CborFields.writeNumber(out, "v", VERSION);
            CborFields.writeNumber(out, "c", COMPATIBLE_VERSION);
            out.writeStringField("f", fleet);
            CborFields.writeNumber(out, "k", message.kind().ordinal());
            out.writeStringField("n", message.from());
            out.writeStringField("a", message.address());
            CborFields.writeNumber(out, "r", message.run());
            CborFields.writeNumber(out, "s", message.sequence());
            CborFields.writeTextIfPresent(out, "t", message.target());
            CborFields.writeTextIfPresent(out, "ta", message.targetAddress());
            CborFields.writeNumber(out, "d", message.digest());
            writeBuckets(out, message.buckets());
            writeUpdates(out, message.updates());
            if (message.payload().hasRemaining()) {
                out.writeFieldName("x");
                out.writeBinary(Message.toBytes(message.payload()));
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return bytes.toByteArray();
    }

    private static void writeBuckets(CBORGenerator out, List<Long> buckets) throws IOException {
        if (buckets.isEmpty()) {
            return;
        }
        out.writeArrayFieldStart("b");
        for (long bucket : buckets) {
            out.writeNumber(bucket);
        }
        out.writeEndArray();
    }

    private static void writeUpdates(CBORGenerator out, List<MemberUpdate> updates)
            throws IOException {
        if (updates.isEmpty()) {
            return;
        }
        out.writeArrayFieldStart("u");
        for (MemberUpdate update : updates) {
            MemberUpdateCodec.write(out, update);
        }
        out.writeEndArray();
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedMessageException if the bytes are not a valid message of this fleet, in a
     *     version that can be read; no other exception is thrown for any input
     */
    public Message decode(byte[] bytes) throws MalformedMessageException {
        try (JsonParser in = FACTORY.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedMessageException("not a message");
            }
            MessageFields fields = new MessageFields();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String key = in.currentName();
                in.nextToken();
                fields.read(key, in);
            }
            fields.check(fleet);
            return fields.toMessage();
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedMessageException("not a whole message");
        }
    }

    /** The fields of a message that have been decoded so far. */
    private static final class MessageFields {
        private int compatibleVersion = -1;
        private String fleet = "";
        private Message.Kind kind;
        private String from = "";
        private String address = "";
        private long run = -1;
        private long sequence;
        private String target = "";
        private String targetAddress = "";
        private long digest;
        private List<Long> buckets = List.of();
        private List<MemberUpdate> updates = List.of();
        private ByteBuffer payload = Message.EMPTY_PAYLOAD;

        void read(String key, JsonParser in) throws IOException, MalformedMessageException {
            switch (key) {
                case "c" -> compatibleVersion = in.getIntValue();
                case "f" -> fleet = CborFields.readName(in);
                case "k" -> kind = CborFields.readEnum(KINDS, in);
                case "n" -> from = CborFields.readName(in);
                case "a" -> address = CborFields.readAddress(in);
                case "r" -> run = in.getLongValue();
                case "s" -> sequence = in.getLongValue();
                case "t" -> target = CborFields.readName(in);
                case "ta" -> targetAddress = CborFields.readAddress(in);
                case "d" -> digest = in.getLongValue();
                case "b" -> buckets = readBuckets(in);
                case "u" -> updates = readUpdates(in);
                case "x" -> payload = ByteBuffer.wrap(in.getBinaryValue()).asReadOnlyBuffer();
                default -> in.skipChildren();
            }
        }

        void check(String expectedFleet) throws MalformedMessageException {
            if (compatibleVersion < 0 || from.isEmpty() || address.isEmpty() || run < 0) {
                throw new MalformedMessageException("not a whole message");
            }
            if (!fleet.equals(expectedFleet)) {
                throw new MalformedMessageException("of another fleet");
            }
            if (compatibleVersion > VERSION) {
                throw new MalformedMessageException("of a version that this one cannot read");
            }
            if (kind == null || !hasRequiredTarget()) {
                throw new MalformedMessageException("not a whole message");
            }
        }

        private boolean hasRequiredTarget() {
            return switch (kind) {
                case PING, QUESTION -> !target.isEmpty();
                case PING_REQUEST -> !target.isEmpty() && !targetAddress.isEmpty();
                default -> true;
            };
        }

        Message toMessage() {
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
                    payload);
        }
    }

    private static List<Long> readBuckets(JsonParser in)
            throws IOException, MalformedMessageException {
        List<Long> buckets = new ArrayList<>();
        CborFields.require(JsonToken.START_ARRAY, in);
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (buckets.size() == MAX_BUCKETS) {
                throw new MalformedMessageException("a longer list than any");
            }
            buckets.add(in.getLongValue());
        }
        return buckets;
    }

    private static List<MemberUpdate> readUpdates(JsonParser in)
            throws IOException, MalformedMessageException {
        List<MemberUpdate> updates = new ArrayList<>();
        CborFields.require(JsonToken.START_ARRAY, in);
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (updates.size() == MAX_UPDATES) {
                throw new MalformedMessageException("a longer list than any");
            }
            updates.add(MemberUpdateCodec.read(in));
        }
        return updates;
    }
}
