package poppynotch.fleet.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Message;

/**
 * Tests which messages the codec decodes and which it rejects. Guards against exceptions and
 * ill-formed members that damaged or foreign datagrams could cause.
 */
class MessageCodecTest {

    /** A PING as version 1 encodes it, which later versions must still decode. */
    private static final String RECORDED_PING =
            "bf617601616301616667666c6565742d31616b00616e626e3161616e3132372e302e302e313a37303030617218"
                + "636173076174626e326164382961759fbf616e626e3361616e3132372e302e302e313a37303032616902617218"
                + "4d6173006170bf617a616161746566726f6e74617663302e33616801ffffffff";

    private final MessageCodec codec = new MessageCodec("fleet-1");

    private static Message ping() {
        return new Message(
                Message.Kind.PING,
                "n1",
                "127.0.0.1:7000",
                99,
                7,
                "n2",
                "",
                -42,
                List.of(),
                List.of(
                        new MemberUpdate(
                                "n3",
                                "127.0.0.1:7002",
                                2,
                                77,
                                MemberState.ALIVE,
                                "",
                                new MemberProfile(
                                        "a", "front", "0.3", MemberProfile.Phase.READY, ""),
                                0)));
    }

    @Test
    void roundTripsMessage() throws Exception {
        assertEquals(ping(), codec.decode(codec.encode(ping())));
    }

    @Test
    void decodesMessageOfVersionOne() throws Exception {
        assertEquals(ping(), codec.decode(HexFormat.of().parseHex(RECORDED_PING)));
    }

    private static byte[] encodeAck(String fleet, int version, int compatibleVersion)
            throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (CBORGenerator out = new CBORFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("v", version);
            out.writeNumberField("c", compatibleVersion);
            out.writeStringField("f", fleet);
            out.writeNumberField("k", Message.Kind.ACK.ordinal());
            out.writeStringField("n", "n1");
            out.writeStringField("a", "127.0.0.1:7000");
            out.writeNumberField("r", 5);
            out.writeObjectFieldStart("later");
            out.writeArrayFieldStart("more");
            out.writeNumber(1);
            out.writeEndArray();
            out.writeEndObject();
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    /** The next version may add fields, as long as it declares that this one can read it. */
    @Test
    void ignoresUnknownFieldsOfNextVersion() throws Exception {
        assertEquals("n1", codec.decode(encodeAck("fleet-1", 2, 1)).from());
    }

    @Test
    void rejectsOtherFleetsAndIncompatibleVersions() throws Exception {
        assertEquals(
                "of a version that this one cannot read",
                assertThrows(
                                MalformedMessageException.class,
                                () -> codec.decode(encodeAck("fleet-1", 2, 2)))
                        .getMessage());
        assertEquals(
                "of another fleet",
                assertThrows(
                                MalformedMessageException.class,
                                () -> codec.decode(encodeAck("fleet-2", 1, 1)))
                        .getMessage());
    }

    /**
     * Damaged bytes are rejected by a MalformedMessageException, or are decoded to a well-formed
     * message; no other exception is thrown.
     */
    @Test
    void rejectsOrDecodesDamagedBytesWithoutOtherExceptions() {
        Random random = new Random(11);
        byte[] valid = codec.encode(ping());
        int decoded = 0;
        for (int i = 0; i < 50_000; i++) {
            byte[] bytes =
                    switch (i % 3) {
                        case 0 -> Arrays.copyOf(valid, random.nextInt(valid.length));
                        case 1 -> {
                            byte[] flipped = valid.clone();
                            flipped[random.nextInt(flipped.length)] = (byte) random.nextInt(256);
                            yield flipped;
                        }
                        default -> {
                            byte[] randomBytes = new byte[random.nextInt(1500)];
                            random.nextBytes(randomBytes);
                            yield randomBytes;
                        }
                    };
            try {
                Message message = codec.decode(bytes);
                decoded++;
                assertTrue(
                        MemberProfile.isValidName(message.from())
                                && Addresses.isAddress(message.address()));
            } catch (MalformedMessageException e) {
                assertTrue(e.getMessage().length() < 50, e.getMessage());
            }
        }
        assertTrue(decoded > 1000, "a flipped byte in a number is still a message: " + decoded);
    }

    @Test
    void rejectsInvalidNamesAddressesAndHugeIncarnations() {
        for (MemberUpdate invalid :
                List.of(
                        new MemberUpdate(
                                "n\n3", "127.0.0.1:7002", 2, 77, MemberState.DEAD, "", null, 0),
                        new MemberUpdate(
                                "n3",
                                "elsewhere.example:7002",
                                2,
                                77,
                                MemberState.DEAD,
                                "",
                                null,
                                0),
                        new MemberUpdate(
                                "n".repeat(49),
                                "127.0.0.1:7002",
                                2,
                                77,
                                MemberState.DEAD,
                                "",
                                null,
                                0),
                        new MemberUpdate(
                                "n3",
                                "127.0.0.1:7002",
                                Long.MAX_VALUE,
                                77,
                                MemberState.DEAD,
                                "",
                                null,
                                0),
                        new MemberUpdate(
                                "n3", "127.0.0.1:0", 2, 77, MemberState.DEAD, "", null, 0))) {
            Message message =
                    new Message(
                            Message.Kind.GOSSIP,
                            "n1",
                            "127.0.0.1:7000",
                            1,
                            0,
                            "",
                            "",
                            0,
                            List.of(),
                            new ArrayList<>(List.of(invalid)));
            assertThrows(
                    MalformedMessageException.class,
                    () -> codec.decode(codec.encode(message)),
                    invalid.toString());
        }
    }
}
