package poppynotch.fleet.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import poppynotch.fleet.wire.Addresses;

/**
 * A file of seed addresses in the JSON format of discovery responses: the value of each {@code
 * addr} field is an address. Owned by {@link FleetHost} and confined to its event loop.
 */
final class SeedAddressFile {

    /** Maximum size of the file; a larger one is not a list of seeds. */
    private static final long MAX_FILE_BYTES = 1 << 20;

    private final Path file;
    private final Consumer<String> log;

    /** Class name of the last logged error, to log it only once; empty if there is none. */
    private String lastErrorType = "";

    SeedAddressFile(Path file, Consumer<String> log) {
        this.file = file;
        this.log = log;
    }

    /**
     * Reads the addresses in the file. The list is empty if the file cannot be read, which is
     * logged once.
     */
    List<String> read() {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new IOException("seed file has more than " + MAX_FILE_BYTES + " bytes");
            }
            List<String> addresses = parse(Files.readAllBytes(file));
            lastErrorType = "";
            return addresses;
        } catch (IOException e) {
            logOnce(e);
            return new ArrayList<>();
        }
    }

    private static List<String> parse(byte[] json) throws IOException {
        List<String> addresses = new ArrayList<>();
        try (JsonParser in = new JsonFactory().createParser(json)) {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                boolean isAddressField =
                        token == JsonToken.VALUE_STRING && "addr".equals(in.currentName());
                if (isAddressField && Addresses.isAddress(in.getText())) {
                    addresses.add(in.getText());
                }
            }
        }
        return addresses;
    }

    private void logOnce(IOException e) {
        if (e.getClass().getName().equals(lastErrorType)) {
            return;
        }
        lastErrorType = e.getClass().getName();
        log.accept(
                "fleet: Failed to read seed file: file="
                        + file
                        + ", cause="
                        + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
}
