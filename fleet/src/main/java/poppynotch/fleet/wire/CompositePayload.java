package poppynotch.fleet.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;

/**
 * Several kinds of shared state in one rider: a CBOR map from a kind's letter to its bytes. A kind
 * that is not known is passed over, so that a later version may add some.
 */
public final class CompositePayload implements PiggybackPayload {

    private static final CBORFactory FACTORY = new CBORFactory();

    /** The map's own bytes, and for each kind its letter and the length of what follows. */
    private static final int HEAD_BYTES = 2;

    private static final int KIND_BYTES = 5;

    private final Map<String, PiggybackPayload> payloadsByLetter = new LinkedHashMap<>();

    /** Bytes sent of each kind, without the map round them. */
    private final Map<String, Long> sent = new LinkedHashMap<>();

    private long unreadable;

    /** Adds a kind; those added first have the first choice of the room. */
    public CompositePayload with(String letter, PiggybackPayload kind) {
        payloadsByLetter.put(letter, kind);
        sent.put(letter, 0L);
        return this;
    }

    /** What is sent for one kind by itself: a question, or an answer. */
    public static ByteBuffer wrapped(String letter, ByteBuffer bytes) {
        return encode(Map.of(letter, bytes));
    }

    @Override
    public ByteBuffer next(double now, int bytes, int members) {
        Map<String, ByteBuffer> all = new LinkedHashMap<>();
        int room = bytes - HEAD_BYTES;
        for (Map.Entry<String, PiggybackPayload> kind : payloadsByLetter.entrySet()) {
            ByteBuffer next =
                    room > KIND_BYTES
                            ? kind.getValue().next(now, room - KIND_BYTES, members)
                            : Message.NOTHING;
            if (next.hasRemaining()) {
                all.put(kind.getKey(), next);
                sent(kind.getKey(), next);
                room -= KIND_BYTES + next.remaining();
            }
        }
        return all.isEmpty() ? Message.NOTHING : encode(all);
    }

    @Override
    public void hear(double now, ByteBuffer told, double transitMs) {
        decode(told)
                .forEach(
                        (letter, bytes) ->
                                payloadsByLetter.get(letter).hear(now, bytes, transitMs));
    }

    @Override
    public ByteBuffer asked(double now, String from, long sequence, ByteBuffer question) {
        Map<String, ByteBuffer> answers = new LinkedHashMap<>();
        decode(question)
                .forEach(
                        (letter, bytes) -> {
                            ByteBuffer answer =
                                    payloadsByLetter.get(letter).asked(now, from, sequence, bytes);
                            if (answer.hasRemaining()) {
                                answers.put(letter, answer);
                                sent(letter, answer);
                            }
                        });
        return answers.isEmpty() ? Message.NOTHING : encode(answers);
    }

    @Override
    public void told(double now, String from, long sequence, ByteBuffer answer) {
        decode(answer)
                .forEach(
                        (letter, bytes) ->
                                payloadsByLetter.get(letter).told(now, from, sequence, bytes));
    }

    /** A question of a kind was sent by itself; it counts as what rides on answers does. */
    public void sent(String letter, ByteBuffer bytes) {
        sent.merge(letter, (long) bytes.remaining(), Long::sum);
    }

    /** Bytes sent since the start by a kind's letter: on answers, as answers, and as questions. */
    public Map<String, Long> sentBytes() {
        return Map.copyOf(sent);
    }

    /** Riders that could not be read. */
    public long unreadable() {
        return unreadable;
    }

    private static ByteBuffer encode(Map<String, ByteBuffer> kinds) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
            out.writeStartObject(kinds.size());
            for (Map.Entry<String, ByteBuffer> kind : kinds.entrySet()) {
                out.writeFieldName(kind.getKey());
                out.writeBinary(Message.bytes(kind.getValue()));
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return ByteBuffer.wrap(bytes.toByteArray()).asReadOnlyBuffer();
    }

    /** What is known of a rider; what cannot be read is nothing, and counted. */
    private Map<String, ByteBuffer> decode(ByteBuffer told) {
        Map<String, ByteBuffer> all = new LinkedHashMap<>();
        try (JsonParser in = FACTORY.createParser(Message.bytes(told))) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a map");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String letter = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT
                        && payloadsByLetter.containsKey(letter)) {
                    all.put(letter, ByteBuffer.wrap(in.getBinaryValue()).asReadOnlyBuffer());
                } else {
                    in.skipChildren();
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            unreadable++;
            return Map.of();
        }
        return all;
    }
}
