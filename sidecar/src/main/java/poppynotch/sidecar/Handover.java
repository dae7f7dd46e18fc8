package poppynotch.sidecar;

import java.io.File;
import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the two processes of an upgrade see of each other: each leaves a file named after its
 * process number in the folder that both have, and so can look up how much the other uses of the
 * limits that bind both. It is owned by {@link Sidecar} and called on its event loop only.
 */
final class Handover {

    private static final String PREFIX = "process-";

    private final Path folder;
    private final Path ownFile;

    /** Creates this process's file in the folder that both processes have. */
    Handover(Path folder) throws IOException {
        this.folder = folder;
        ownFile = folder.resolve(PREFIX + ProcessHandle.current().pid());
        Files.write(ownFile, new byte[0]);
    }

    /**
     * The descriptors that other processes have open, or 0 where that cannot be read; the file of a
     * process that is gone is deleted.
     */
    int countOtherDescriptors() {
        int count = 0;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*")) {
            for (Path file : files) {
                if (!file.equals(ownFile)) {
                    String process = file.getFileName().toString().substring(PREFIX.length());
                    String[] open = new File("/proc/" + process + "/fd").list();
                    if (open == null) {
                        Files.deleteIfExists(file);
                    } else {
                        count += open.length;
                    }
                }
            }
        } catch (IOException | DirectoryIteratorException e) {
            // Nothing is known of the other process, if there is one: it counts for nothing.
            return 0;
        }
        return count;
    }
}
