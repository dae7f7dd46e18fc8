package poppynotch.fleet.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.sharing.QuotaShares;

/**
 * Encodes and decodes requests for loans of quota and their answers, and applies them to the {@link
 * QuotaShares}. A request is a CBOR array of a tenant and a rate, an answer an array of a rate.
 * Rates are in calls a second.
 *
 * <p>Confined to the thread of its {@link QuotaShares}.
 */
public final class QuotaLoanPayload implements PiggybackPayload {

    /** The letter of this payload in a {@link CompositePayload}. */
    public static final String LETTER = "l";

    private static final CBORFactory FACTORY = new CBORFactory();

    /** Maximum length of a tenant's name; a request with a longer one is malformed. */
    private static final int MAX_TENANT_LENGTH = 256;

    private final QuotaShares shares;
    private long malformed;

    /** Creates a payload that lends from these shares, and adds borrowed quota to them. */
    public QuotaLoanPayload(QuotaShares shares) {
        this.shares = shares;
    }

    /** Encodes a request for a loan. */
    public static ByteBuffer encodeQuestion(QuotaShares.LoanRequest question) {
        return encode(question.tenant(), question.wanted());
    }

    /** Encodes an answer: the lent rate in calls a second, or 0 for no loan. */
    public static ByteBuffer encodeAnswer(double rate) {
        return encode(null, rate);
    }

    @Override
    public ByteBuffer onQuestion(double now, String from, long sequence, ByteBuffer question) {
        try (JsonParser in = FACTORY.createParser(Message.toBytes(question))) {
            in.nextToken();
            String tenant = in.nextToken() == JsonToken.VALUE_STRING ? in.getText() : "";
            in.nextToken();
            double wanted = in.getDoubleValue();
            if (tenant.isEmpty() || tenant.length() > MAX_TENANT_LENGTH) {
                malformed++;
                return Message.EMPTY_PAYLOAD;
            }
            return encodeAnswer(shares.grantLoan(now, from, tenant, wanted));
        } catch (IOException e) {
            malformed++;
            return Message.EMPTY_PAYLOAD;
        }
    }

    @Override
    public void onAnswer(double now, String from, long sequence, ByteBuffer answer) {
        try (JsonParser in = FACTORY.createParser(Message.toBytes(answer))) {
            in.nextToken();
            in.nextToken();
            shares.onLoanAnswer(now, sequence, from, in.getDoubleValue());
        } catch (IOException e) {
            malformed++;
        }
    }

    /** Number of requests and answers that could not be decoded. */
    public long malformed() {
        return malformed;
    }

    /** Encodes an array of a tenant, omitted if it is null, and a rate. */
    private static ByteBuffer encode(String tenant, double rate) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(32);
        try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
            out.writeStartArray();
            if (tenant != null) {
                out.writeString(tenant);
            }
            out.writeNumber(rate);
            out.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory cannot fail", e);
        }
        return ByteBuffer.wrap(bytes.toByteArray());
    }
}
