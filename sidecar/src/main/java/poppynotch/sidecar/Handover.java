package poppynotch.sidecar;

import java.io.File;
import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the two processes of an upgrade see of each other: each leaves a file named after its
 * process number in the folder that both have, and so can look up what the other holds of the
 * limits that bind both.
 */
final class Handover {

    private static final String PREFIX = "process-";

    private final Path folder;
    private final Path own;

    Handover(Path folder) throws IOException {
        this.folder = folder;
        own = folder.resolve(PREFIX + ProcessHandle.current().pid());
        Files.write(own, new byte[0]);
    }

    /**
     * The descriptors that other processes hold; what one that is gone has left is cleared away.
     */
    int othersDescriptors() {
        int held = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                if (!file.equals(own)) {
                    String process = file.getFileName().toString().substring(PREFIX.length());
                    String[] open = new File("/proc/" + process + "/fd").list();
                    if (open == null) {
                        Files.deleteIfExists(file);
                    } else {
                        held += open.length;
                    }
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            // Nothing can be told of the other, if there is one: it counts for nothing.
            return 0;
        }
        return held;
    }
}
