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
 * Which endpoints are in maintenance, in a folder that outlasts the process: an empty file for
 * each, named after it. A file is there or not, so nobody ever reads half of a change. It is owned
 * by {@link Maintenance} and blocks the event loop for the time that the file system takes.
 */
final class MaintenanceFiles {

    private static final String PREFIX = "maintenance-";

    private final Path folder;
    private final RateLimitedLog log;

    MaintenanceFiles(Path folder, RateLimitedLog log) {
        this.folder = folder;
        this.log = log;
    }

    /** The ids of the endpoints; files whose names cannot be read are logged and left out. */
    Set<String> read() throws IOException {
        Set<String> ids = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString().substring(PREFIX.length());
                try {
                    ids.add(URLDecoder.decode(name, StandardCharsets.UTF_8));
                } catch (IllegalArgumentException e) {
                    log.warn("a file in the kept folder names no nodo", name);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return ids;
    }

    /** Creates or removes an endpoint's file; there is nothing to do where that is done. */
    void set(String id, boolean out) throws IOException {
        // The ids are discovery's: none may name a file outside of the folder.
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
