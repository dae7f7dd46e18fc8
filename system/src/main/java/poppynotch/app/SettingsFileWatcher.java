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
 * It polls in a daemon thread of its own, which lives as long as the process.
 */
final class SettingsFileWatcher {

    private static final Logger LOG = LoggerFactory.getLogger(SettingsFileWatcher.class);
    private static final long POLL_INTERVAL_MS = 2000;

    private final Path file;
    private final Consumer<ProcessSettings> onReload;

    /** Modification time of the file at the last reload; empty where it could not be read. */
    private Optional<FileTime> loadedVersion;

    /**
     * Creates a watcher that is not started.
     *
     * @param onReload receives valid settings, in the watcher's thread or the caller's of {@link
     *     #reload}
     */
    SettingsFileWatcher(Path file, Consumer<ProcessSettings> onReload) {
        this.file = file;
        this.onReload = onReload;
        loadedVersion = modificationTime();
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
                if (current.isPresent() && !current.equals(loadedVersion)) {
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
        loadedVersion = modificationTime();
        SettingsResult result = ProcessSettings.read(file);
        if (result instanceof SettingsResult.Valid good) {
            LOG.info("Reloaded settings: file={}", file);
            onReload.accept(good.settings());
        } else {
            String reason = ((SettingsResult.Invalid) result).reason();
            LOG.warn("Kept previous settings: file={}, reason={}", file, reason);
        }
    }
}
