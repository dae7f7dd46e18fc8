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
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.RetransmitLimit;
import poppynotch.fleet.sharing.Observation;
import poppynotch.fleet.sharing.ObservationStore;

/**
 * Disseminates observations of servers, piggybacked on membership messages. They are encoded as a
 * CBOR array of arrays; further elements of an observation's array are ignored, so that a later
 * version may add some.
 *
 * <p>Confined to the thread of its {@link ObservationStore}.
 */
public final class ObservationPayload implements PiggybackPayload {

    /** The letter of this payload in a {@link CompositePayload}. */
    public static final String LETTER = "s";

    private static final CBORFactory FACTORY = new CBORFactory();

    /** Factor of the number of transmissions, see {@link RetransmitLimit#transmissions}. */
    private static final double RETRANSMIT_MULTIPLIER = 3;

    /** Size of the CBOR headers of the arrays and of the payload's field in the message. */
    private static final int HEADER_BYTES = 16;

    /** Maximum number of observations in a payload; a datagram has no room for more. */
    private static final int MAX_OBSERVATIONS = 64;

    /** Number of elements of an observation's array. */
    private static final int OBSERVATION_ELEMENTS = 9;

    private static final String INCOMPLETE = "incomplete or invalid list of observations";

    private final ObservationStore store;
    private long malformed;

    /** Creates a payload that sends a store's observations, and merges received ones into it. */
    public ObservationPayload(ObservationStore store) {
        this.store = store;
    }

    @Override
    public ByteBuffer nextPayload(double now, int maxBytes, int memberCount) {
        int maxTransmissions = RetransmitLimit.transmissions(RETRANSMIT_MULTIPLIER, memberCount);
        List<Observation> next =
                store.takeForMessage(now, maxBytes - HEADER_BYTES, maxTransmissions);
        return next.isEmpty() ? Message.EMPTY_PAYLOAD : encode(next);
    }

    @Override
    public void onPayload(double now, ByteBuffer received, double transitMs) {
        try {
            decode(received).forEach(observation -> store.merge(now, observation, transitMs));
        } catch (MalformedMessageException e) {
            malformed++;
        }
    }

    /** Number of payloads that could not be decoded. */
    public long malformed() {
        return malformed;
    }

    static ByteBuffer encode(List<Observation> observations) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
            out.writeStartArray(observations.size());
            for (Observation observation : observations) {
                out.writeStartArray(OBSERVATION_ELEMENTS);
                out.writeString(observation.server());
                out.writeString(observation.origin());
                out.writeNumber(observation.run());
                out.writeNumber(observation.version());
                out.writeNumber(observation.attempts());
                out.writeNumber(observation.unreachable());
                out.writeNumber(observation.errors());
                out.writeNumber(observation.timedOut());
                // Rounded up, as an age must never be understated.
                out.writeNumber((long) Math.ceil(observation.ageMs()));
                out.writeEndArray();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return ByteBuffer.wrap(bytes.toByteArray()).asReadOnlyBuffer();
    }

    /**
     * Decodes observations.
     *
     * @throws MalformedMessageException if the bytes are not a list of observations, or it is too
     *     long
     */
    static List<Observation> decode(ByteBuffer bytes) throws MalformedMessageException {
        List<Observation> observations = new ArrayList<>();
        try (JsonParser in = FACTORY.createParser(Message.toBytes(bytes))) {
            if (in.nextToken() != JsonToken.START_ARRAY) {
                throw new MalformedMessageException("expected a CBOR array of observations");
            }
            while (in.nextToken() == JsonToken.START_ARRAY) {
                if (observations.size() == MAX_OBSERVATIONS) {
                    throw new MalformedMessageException(
                            "more than " + MAX_OBSERVATIONS + " observations in a payload");
                }
                observations.add(readObservation(in));
                skipUnknownElements(in);
            }
            if (in.currentToken() != JsonToken.END_ARRAY) {
                throw new MalformedMessageException(INCOMPLETE);
            }
        } catch (IOException e) {
            throw new MalformedMessageException(INCOMPLETE);
        }
        return observations;
    }

    private static Observation readObservation(JsonParser in)
            throws IOException, MalformedMessageException {
        String server = nextName(in);
        String origin = nextName(in);
        long run = nextLong(in);
        long version = nextLong(in);
        int attempts = nextInt(in);
        int unreachable = nextInt(in);
        int errors = nextInt(in);
        int timedOut = nextInt(in);
        long ageMs = nextLong(in);
        return new Observation(
                server, origin, run, version, attempts, unreachable, errors, timedOut, ageMs);
    }

    private static void skipUnknownElements(JsonParser in)
            throws IOException, MalformedMessageException {
        while (in.nextToken() != JsonToken.END_ARRAY) {
            if (in.currentToken() == null) {
                throw new MalformedMessageException(INCOMPLETE);
            }
            in.skipChildren();
        }
    }

    private static String nextName(JsonParser in) throws IOException, MalformedMessageException {
        in.nextToken();
        return CborFields.readName(in);
    }

    private static long nextLong(JsonParser in) throws IOException {
        in.nextToken();
        return in.getLongValue();
    }

    private static int nextInt(JsonParser in) throws IOException {
        in.nextToken();
        return in.getIntValue();
    }
}
