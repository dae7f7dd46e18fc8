package poppynotch.config;

import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Configurations as they are kept and sent: JSON, deflated, as names and numbers repeat. */
public final class DocumentCodec {

    private DocumentCodec() {}

    /** Deflates a configuration's JSON. */
    public static byte[] encode(JsonObject document) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
            deflater.write(document.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** The JSON text that was encoded. */
    public static byte[] decode(byte[] document) {
        try (InflaterInputStream inflater =
                new InflaterInputStream(new ByteArrayInputStream(document))) {
            return inflater.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
