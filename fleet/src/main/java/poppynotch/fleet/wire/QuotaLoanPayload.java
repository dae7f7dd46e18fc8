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
 * Questions for loans of an allowance and their answers, as CBOR: a tenant and a rate; and a rate.
 */
public final class QuotaLoanPayload implements PiggybackPayload {

    private static final CBORFactory FACTORY = new CBORFactory();

    /** A longer name is no tenant's. */
    private static final int MAX_TENANT_LENGTH = 256;

    private final QuotaShares shares;
    private long unreadable;

    /** Answers from these shares, and puts into them what is lent. */
    public QuotaLoanPayload(QuotaShares shares) {
        this.shares = shares;
    }

    /** A question as it is sent. */
    public static ByteBuffer question(QuotaShares.Question question) {
        return array(question.tenant(), question.wanted());
    }

    /** An answer as it is sent. */
    public static ByteBuffer answer(double rate) {
        return array(null, rate);
    }

    @Override
    public ByteBuffer asked(double now, String from, long sequence, ByteBuffer question) {
        try (JsonParser in = FACTORY.createParser(Message.bytes(question))) {
            in.nextToken();
            String tenant = in.nextToken() == JsonToken.VALUE_STRING ? in.getText() : "";
            in.nextToken();
            double wanted = in.getDoubleValue();
            if (tenant.isEmpty() || tenant.length() > MAX_TENANT_LENGTH) {
                unreadable++;
                return Message.NOTHING;
            }
            return answer(shares.grantLoan(now, from, tenant, wanted));
        } catch (IOException e) {
            unreadable++;
            return Message.NOTHING;
        }
    }

    @Override
    public void told(double now, String from, long sequence, ByteBuffer answer) {
        try (JsonParser in = FACTORY.createParser(Message.bytes(answer))) {
            in.nextToken();
            in.nextToken();
            shares.onLoanAnswer(now, sequence, from, in.getDoubleValue());
        } catch (IOException e) {
            unreadable++;
        }
    }

    /** Questions and answers that could not be read. */
    public long unreadable() {
        return unreadable;
    }

    private static ByteBuffer array(String tenant, double rate) {
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
