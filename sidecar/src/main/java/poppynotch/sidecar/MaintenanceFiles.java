package poppynotch.sidecar;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/**
 * Stores which endpoints are in maintenance, in a folder that outlasts the process: an empty file
 * for each, named after it. A file exists or not, so that no partial change is ever read. It is
 * owned by {@link Maintenance} and blocks the event loop for the time that the file system takes.
 */
final class MaintenanceFiles {

    private static final String PREFIX = "maintenance-";

    private final Path folder;
    private final RateLimitedLog log;

    MaintenanceFiles(Path folder, RateLimitedLog log) {
        this.folder = folder;
        this.log = log;
    }

    /**
     * Reads the ids of the endpoints; files whose names cannot be decoded are logged and ignored.
     */
    Set<String> read() throws IOException {
        Set<String> ids = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString().substring(PREFIX.length());
                try {
                    ids.add(URLDecoder.decode(name, StandardCharsets.UTF_8));
                } catch (IllegalArgumentException e) {
                    log.warn("Maintenance file ignored: undecodableName", name);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return ids;
    }

    /** Creates or removes an endpoint's file, unless that is done already. */
    void set(String id, boolean out) throws IOException {
        // Ids come from discovery: they are encoded so that none names a file outside the folder.
        Path file = folder.resolve(PREFIX + URLEncoder.encode(id, StandardCharsets.UTF_8));
        if (out) {
            try {
                Files.createFile(file);
            } catch (FileAlreadyExistsException e) {
                // It was created before, here or by the other process of an upgrade.
                return;
            }
        } else {
            Files.deleteIfExists(file);
        }
    }
}
