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

/** Addresses from a file in the form of discovery's answers: each {@code addr} in it counts. */
final class SeedAddressFile {

    /** A larger file is no list of seeds. */
    private static final long MAX_FILE_BYTES = 1 << 20;

    private final Path file;
    private final Consumer<String> log;
    private String lastErrorType = "";

    SeedAddressFile(Path file, Consumer<String> log) {
        this.file = file;
        this.log = log;
    }

    /** What the file names now; a file that cannot be read names nobody, and is told once. */
    List<String> read() {
        List<String> found = new ArrayList<>();
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new IOException("it has more than " + MAX_FILE_BYTES + " bytes");
            }
            try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
                for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                    boolean isAddress =
                            token == JsonToken.VALUE_STRING && "addr".equals(in.currentName());
                    if (isAddress && Addresses.isAddress(in.getText())) {
                        found.add(in.getText());
                    }
                }
            }
            lastErrorType = "";
        } catch (IOException e) {
            found.clear();
            if (!e.getClass().getName().equals(lastErrorType)) {
                lastErrorType = e.getClass().getName();
                log.accept(
                        "fleet: the file of seeds cannot be read: "
                                + file
                                + ": "
                                + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
        }
        return found;
    }
}
