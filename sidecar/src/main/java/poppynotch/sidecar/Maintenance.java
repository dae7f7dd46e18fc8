package poppynotch.sidecar;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/**
 * The endpoints that operators took out of service: in this process, and in the files that outlast
 * it. It is owned by {@link Sidecar} and called on its event loop only.
 */
final class Maintenance {

    private final Exchange exchange;
    private final RateLimitedLog log;

    /** Null where there is no folder that outlasts the process. */
    private final MaintenanceFiles files;

    /** The endpoints that were in the files when they were last read. */
    private Set<String> inFiles = new TreeSet<>();

    /** Without an endpoint in maintenance; with files in a folder, or none where that is null. */
    Maintenance(Exchange exchange, RateLimitedLog log, Path folder) {
        this.exchange = exchange;
        this.log = log;
        files = folder == null ? null : new MaintenanceFiles(folder, log);
    }

    /** Applies what operators said to the other process of an upgrade. */
    void applyChangesFromFiles() {
        try {
            Set<String> current = files.read();
            for (String id : current) {
                if (!inFiles.contains(id)) {
                    exchange.setMaintenance(id, true);
                    log.info("in maintenance by the files: " + id);
                }
            }
            for (String id : inFiles) {
                if (!current.contains(id)) {
                    exchange.setMaintenance(id, false);
                    log.info("back from maintenance by the files: " + id);
                }
            }
            inFiles = current;
        } catch (IOException e) {
            log.warn("what the other process was told of maintenance is not known", e);
        }
    }

    /** Applies what operators said to the process before this one. */
    void restore() {
        try {
            if (files != null) {
                inFiles = files.read();
            }
            for (String id : inFiles) {
                exchange.setMaintenance(id, true);
                log.info("in maintenance by the files: " + id);
            }
        } catch (IOException e) {
            log.warn("what was in maintenance before the start is not known", e);
        }
    }

    /**
     * Takes an endpoint out of service for operators, or back.
     *
     * @return null if that is done, else why it is not
     */
    String set(String id, boolean takenOut) {
        if (!exchange.hasNamed(id)) {
            return "no list has named " + id;
        }
        exchange.setMaintenance(id, takenOut);
        try {
            if (files != null) {
                files.set(id, takenOut);
                // As the files are now: the other process may change them before they are read
                // again.
                if (takenOut) {
                    inFiles.add(id);
                } else {
                    inFiles.remove(id);
                }
            }
        } catch (IOException e) {
            // It is in force in this process, which is what was asked for.
            log.warn("maintenance will not outlast this process", e);
        }
        return null;
    }
}
