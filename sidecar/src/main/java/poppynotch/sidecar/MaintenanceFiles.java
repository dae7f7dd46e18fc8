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
 * each, named after it. A file is there or not, so nobody ever reads half of a change.
 */
final class MaintenanceFiles {

    private static final String PREFIX = "maintenance-";

    private final Path folder;
    private final RateLimitedLog complaints;

    MaintenanceFiles(Path folder, RateLimitedLog complaints) {
        this.folder = folder;
        this.complaints = complaints;
    }

    /** The ids that can be read; what cannot be is nobody's here. */
    Set<String> read() throws IOException {
        Set<String> ids = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString().substring(PREFIX.length());
                try {
                    ids.add(URLDecoder.decode(name, StandardCharsets.UTF_8));
                } catch (IllegalArgumentException e) {
                    complaints.warn("a file in the kept folder names no nodo", name);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return ids;
    }

    void set(String id, boolean out) throws IOException {
        // The ids are discovery's: none may lead out of the folder.
        Path file = folder.resolve(PREFIX + URLEncoder.encode(id, StandardCharsets.UTF_8));
        if (out) {
            try {
                Files.createFile(file);
            } catch (FileAlreadyExistsException e) {
                // Said before, here or by the other process of an upgrade.
                return;
            }
        } else {
            Files.deleteIfExists(file);
        }
    }
}
