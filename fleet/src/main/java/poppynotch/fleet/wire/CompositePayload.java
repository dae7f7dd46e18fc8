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
 * Combines several kinds of payload into one: a CBOR map from a kind's letter to its encoded
 * payload. Unknown kinds are ignored, so that a later version may add some.
 *
 * <p>Confined to the thread of the {@link poppynotch.fleet.membership.Membership} that it is passed
 * to.
 */
public final class CompositePayload implements PiggybackPayload {

    private static final CBORFactory FACTORY = new CBORFactory();

    /** Size of the map without its entries. */
    private static final int MAP_OVERHEAD_BYTES = 2;

    /** Size of a kind's letter and of the length field of its payload. */
    private static final int ENTRY_OVERHEAD_BYTES = 5;

    private final Map<String, PiggybackPayload> payloadsByLetter = new LinkedHashMap<>();

    /** Number of bytes sent of each kind, without the map around them. */
    private final Map<String, Long> sentBytesByLetter = new LinkedHashMap<>();

    private long malformed;

    /** Adds a kind; kinds that are added first take precedence if a message's space is short. */
    public CompositePayload with(String letter, PiggybackPayload payload) {
        payloadsByLetter.put(letter, payload);
        sentBytesByLetter.put(letter, 0L);
        return this;
    }

    /** Encodes a question or an answer of one kind, to be sent on its own. */
    public static ByteBuffer encodeSingle(String letter, ByteBuffer bytes) {
        return encode(Map.of(letter, bytes));
    }

    @Override
    public ByteBuffer nextPayload(double now, int maxBytes, int memberCount) {
        Map<String, ByteBuffer> payloads = new LinkedHashMap<>();
        int remainingBytes = maxBytes - MAP_OVERHEAD_BYTES;
        for (Map.Entry<String, PiggybackPayload> kind : payloadsByLetter.entrySet()) {
            if (remainingBytes <= ENTRY_OVERHEAD_BYTES) {
                break;
            }
            ByteBuffer payload =
                    kind.getValue()
                            .nextPayload(now, remainingBytes - ENTRY_OVERHEAD_BYTES, memberCount);
            if (payload.hasRemaining()) {
                payloads.put(kind.getKey(), payload);
                recordSent(kind.getKey(), payload);
                remainingBytes -= ENTRY_OVERHEAD_BYTES + payload.remaining();
            }
        }
        return payloads.isEmpty() ? Message.EMPTY_PAYLOAD : encode(payloads);
    }

    @Override
    public void onPayload(double now, ByteBuffer received, double transitMs) {
        decode(received)
                .forEach(
                        (letter, bytes) ->
                                payloadsByLetter.get(letter).onPayload(now, bytes, transitMs));
    }

    @Override
    public ByteBuffer onQuestion(double now, String from, long sequence, ByteBuffer question) {
        Map<String, ByteBuffer> answers = new LinkedHashMap<>();
        decode(question)
                .forEach(
                        (letter, bytes) -> {
                            ByteBuffer answer =
                                    payloadsByLetter
                                            .get(letter)
                                            .onQuestion(now, from, sequence, bytes);
                            if (answer.hasRemaining()) {
                                answers.put(letter, answer);
                                recordSent(letter, answer);
                            }
                        });
        return answers.isEmpty() ? Message.EMPTY_PAYLOAD : encode(answers);
    }

    @Override
    public void onAnswer(double now, String from, long sequence, ByteBuffer answer) {
        decode(answer)
                .forEach(
                        (letter, bytes) ->
                                payloadsByLetter.get(letter).onAnswer(now, from, sequence, bytes));
    }

    /** Counts bytes of a kind that were sent on their own, as a question. */
    public void recordSent(String letter, ByteBuffer bytes) {
        sentBytesByLetter.merge(letter, (long) bytes.remaining(), Long::sum);
    }

    /** Number of bytes sent since the start, by letter: piggybacked, in answers and questions. */
    public Map<String, Long> sentBytes() {
        return Map.copyOf(sentBytesByLetter);
    }

    /** Number of payloads that could not be decoded. */
    public long malformed() {
        return malformed;
    }

    private static ByteBuffer encode(Map<String, ByteBuffer> payloads) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
            out.writeStartObject(payloads.size());
            for (Map.Entry<String, ByteBuffer> payload : payloads.entrySet()) {
                out.writeFieldName(payload.getKey());
                out.writeBinary(Message.toBytes(payload.getValue()));
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return ByteBuffer.wrap(bytes.toByteArray()).asReadOnlyBuffer();
    }

    /** The known kinds of a payload; none if it cannot be decoded, which is counted. */
    private Map<String, ByteBuffer> decode(ByteBuffer received) {
        Map<String, ByteBuffer> payloads = new LinkedHashMap<>();
        try (JsonParser in = FACTORY.createParser(Message.toBytes(received))) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("expected a CBOR map of payloads by letter");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String letter = in.currentName();
                if (in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT
                        && payloadsByLetter.containsKey(letter)) {
                    payloads.put(letter, ByteBuffer.wrap(in.getBinaryValue()).asReadOnlyBuffer());
                } else {
                    in.skipChildren();
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            malformed++;
            return Map.of();
        }
        return payloads;
    }
}
