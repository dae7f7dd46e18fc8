package poppynotch.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.settings.ProcessSettings;
import poppynotch.settings.SettingsResult;

/**
 * Reloads the settings file when its modification time changes, or when {@link #reload} is called.
 * It polls in its own daemon thread, which runs until the process ends.
 */
final class SettingsFileWatcher {

    private static final Logger LOG = LoggerFactory.getLogger(SettingsFileWatcher.class);
    private static final long POLL_INTERVAL_MS = 2000;

    private final Path file;
    private final Consumer<ProcessSettings> onReload;

    /** Modification time of the file at the last reload; empty if it could not be read. */
    private Optional<FileTime> loadedModificationTime;

    /**
     * Creates a watcher that has not started.
     *
     * @param onReload receives valid settings, in the watcher's thread or the caller's of {@link
     *     #reload}
     */
    SettingsFileWatcher(Path file, Consumer<ProcessSettings> onReload) {
        this.file = file;
        this.onReload = onReload;
        loadedModificationTime = modificationTime();
    }

    /** Starts the polling thread. */
    void start() {
        Thread thread = new Thread(this::poll, "settings-watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void poll() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
                Optional<FileTime> current = modificationTime();
                if (current.isPresent() && !current.equals(loadedModificationTime)) {
                    reload();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<FileTime> modificationTime() {
        try {
            return Optional.of(Files.getLastModifiedTime(file));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Reads the file now. Invalid settings are logged and change nothing. */
    synchronized void reload() {
        loadedModificationTime = modificationTime();
        SettingsResult result = ProcessSettings.read(file);
        if (result instanceof SettingsResult.Valid valid) {
            LOG.info("Reloaded settings: file={}", file);
            onReload.accept(valid.settings());
        } else {
            String reason = ((SettingsResult.Invalid) result).reason();
            LOG.warn("Kept previous settings: file={}, reason={}", file, reason);
        }
    }
}
