package poppynotch.sidecar;

import java.io.File;
import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The files by which the two processes of an upgrade find each other: each creates one named after
 * its process id in the folder that both share, so that it can be seen how many descriptors the
 * other one has open, as both share one limit. It is owned by {@link Sidecar} and called on its
 * event loop only.
 */
final class ProcessFiles {

    private static final String PREFIX = "process-";

    private final Path folder;
    private final Path ownFile;

    /** Creates this process's file in the folder that both processes share. */
    ProcessFiles(Path folder) throws IOException {
        this.folder = folder;
        ownFile = folder.resolve(PREFIX + ProcessHandle.current().pid());
        Files.write(ownFile, new byte[0]);
    }

    /**
     * Counts the descriptors that other processes have open; returns 0 if that cannot be read.
     * Deletes the files of processes that have ended.
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
            // Another process, if there is one, is not counted where its descriptors are unknown.
            return 0;
        }
        return count;
    }
}
