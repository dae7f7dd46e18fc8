package poppynotch.config;

import jakarta.json.JsonObject;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * The encoding in which configurations are stored and sent: JSON in UTF-8, compressed with zlib, as
 * names and numbers are repetitive.
 */
public final class DocumentCodec {

    private DocumentCodec() {}

    /** Compresses the JSON of a configuration. */
    public static byte[] encode(JsonObject document) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(compressed)) {
            deflater.write(document.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return compressed.toByteArray();
    }

    /**
     * Returns the JSON text that was encoded.
     *
     * @throws UncheckedIOException if the bytes are not the result of {@link #encode}
     */
    public static byte[] decode(byte[] compressed) {
        try (InflaterInputStream inflater =
                new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            return inflater.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
