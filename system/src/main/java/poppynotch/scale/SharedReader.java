package poppynotch.scale;

import java.util.Arrays;
import java.util.function.Function;
import poppynotch.config.ConfigReader;
import poppynotch.config.ConfigResult;
import poppynotch.config.DocumentCodec;

/**
 * Reads each configuration once for all hollow edges of a process, which real edges do each for
 * themselves.
 */
final class SharedReader implements Function<byte[], ConfigResult> {

    private byte[] document = new byte[0];
    private ConfigResult result;

    @Override
    public synchronized ConfigResult apply(byte[] encoded) {
        if (result == null || !Arrays.equals(document, encoded)) {
            document = encoded;
            result = read(encoded);
        }
        return result;
    }

    static ConfigResult read(byte[] encoded) {
        return ConfigReader.readAccepted(DocumentCodec.decode(encoded));
    }

    /** The configuration that was read last. */
    synchronized byte[] latest() {
        return document;
    }
}
