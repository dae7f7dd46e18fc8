package poppynotch.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import poppynotch.settings.ProcessSettings;
import poppynotch.settings.SettingsResult;

/** Reads the settings file again when it has changed, with or without a signal. */
final class SettingsWatch {

    private static final Logger LOG = LoggerFactory.getLogger(SettingsWatch.class);
    private static final long LOOK_MS = 2000;

    private final Path file;
    private final Consumer<ProcessSettings> changed;
    private FileTime seen;

    SettingsWatch(Path file, Consumer<ProcessSettings> changed) {
        this.file = file;
        this.changed = changed;
        seen = modified();
    }

    void start() {
        Thread thread = new Thread(this::watch, "settings-watch");
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                FileTime now = modified();
                if (now != null && !now.equals(seen)) {
                    read();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            return null;
        }
    }

    /** Reads the file now. One that can't be used changes nothing. */
    synchronized void read() {
        seen = modified();
        SettingsResult read = ProcessSettings.read(file);
        if (read instanceof SettingsResult.Good good) {
            LOG.info("the settings are read again");
            changed.accept(good.settings());
        } else {
            LOG.warn("the settings stay as they were: {}", ((SettingsResult.Bad) read).reason());
        }
    }
}
