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
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.sharing.Observation;
import poppynotch.fleet.sharing.ObservationStore;

/**
 * Has sightings ride on membership's answers, as CBOR: an array of arrays, whose further elements
 * are passed over, so that a later version may add some.
 */
public final class ObservationPayload implements PiggybackPayload {

    private static final CBORFactory FACTORY = new CBORFactory();

    /** Each process tells a sighting on so many times the decimal logarithm of the fleet's size. */
    private static final double RETRANSMIT_MULTIPLIER = 3;

    /** Array heads and the rider's own field. */
    private static final int HEAD_BYTES = 16;

    /** More than this fits no datagram. */
    private static final int MAX_OBSERVATIONS = 64;

    private final ObservationStore store;
    private long unreadable;

    /** Carries what a store holds. */
    public ObservationPayload(ObservationStore store) {
        this.store = store;
    }

    @Override
    public ByteBuffer next(double now, int bytes, int members) {
        int times = (int) Math.ceil(RETRANSMIT_MULTIPLIER * Math.log10(members + 9));
        List<Observation> next = store.takeForMessage(now, bytes - HEAD_BYTES, times);
        return next.isEmpty() ? Message.NOTHING : encode(next);
    }

    @Override
    public void hear(double now, ByteBuffer told, double transitMs) {
        try {
            decode(told).forEach(sighting -> store.hear(now, sighting, transitMs));
        } catch (MalformedMessageException e) {
            unreadable++;
        }
    }

    /** Riders that were no sightings. */
    public long unreadable() {
        return unreadable;
    }

    static ByteBuffer encode(List<Observation> sightings) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
            out.writeStartArray(sightings.size());
            for (Observation one : sightings) {
                out.writeStartArray(9);
                out.writeString(one.server());
                out.writeString(one.origin());
                out.writeNumber(one.run());
                out.writeNumber(one.version());
                out.writeNumber(one.attempts());
                out.writeNumber(one.unreachable());
                out.writeNumber(one.errors());
                out.writeNumber(one.timedOut());
                // Rounded up, as an age must never be told too young.
                out.writeNumber((long) Math.ceil(one.ageMs()));
                out.writeEndArray();
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return ByteBuffer.wrap(bytes.toByteArray()).asReadOnlyBuffer();
    }

    static List<Observation> decode(ByteBuffer told) throws MalformedMessageException {
        List<Observation> sightings = new ArrayList<>();
        try (JsonParser in = FACTORY.createParser(Message.bytes(told))) {
            if (in.nextToken() != JsonToken.START_ARRAY) {
                throw new MalformedMessageException("not a list of sightings");
            }
            while (in.nextToken() == JsonToken.START_ARRAY) {
                if (sightings.size() == MAX_OBSERVATIONS) {
                    throw new MalformedMessageException("a longer list than any");
                }
                String server = name(in);
                String origin = name(in);
                sightings.add(
                        new Observation(
                                server,
                                origin,
                                number(in),
                                number(in),
                                count(in),
                                count(in),
                                count(in),
                                count(in),
                                number(in)));
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    if (in.currentToken() == null) {
                        throw new MalformedMessageException("not a whole list of sightings");
                    }
                    in.skipChildren();
                }
            }
            if (in.currentToken() != JsonToken.END_ARRAY) {
                throw new MalformedMessageException("not a whole list of sightings");
            }
        } catch (IOException e) {
            throw new MalformedMessageException("not a whole list of sightings");
        }
        return sightings;
    }

    private static String name(JsonParser in) throws IOException, MalformedMessageException {
        String text = in.nextToken() == JsonToken.VALUE_STRING ? in.getText() : "";
        if (!MemberProfile.isWord(text)) {
            throw new MalformedMessageException("a name that cannot be one");
        }
        return text;
    }

    private static long number(JsonParser in) throws IOException {
        in.nextToken();
        return in.getLongValue();
    }

    private static int count(JsonParser in) throws IOException {
        in.nextToken();
        return in.getIntValue();
    }
}
