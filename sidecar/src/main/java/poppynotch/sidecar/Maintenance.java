package poppynotch.sidecar;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/**
 * The endpoints that operators took out of service, in this process and in files that outlast it.
 * It is owned by {@link Sidecar} and called on its event loop only.
 */
final class Maintenance {

    private final Exchange exchange;
    private final RateLimitedLog log;

    /** Null if there is no folder that outlasts the process. */
    private final MaintenanceFiles files;

    /** The endpoints that were in the files when they were last read. */
    private Set<String> inFiles = new TreeSet<>();

    /** Creates an instance with nothing in maintenance; without files if the folder is null. */
    Maintenance(Exchange exchange, RateLimitedLog log, Path folder) {
        this.exchange = exchange;
        this.log = log;
        files = folder == null ? null : new MaintenanceFiles(folder, log);
    }

    /** Applies the maintenance that operators set in the other process of an upgrade. */
    void applyChangesFromFiles() {
        try {
            Set<String> current = files.read();
            for (String id : current) {
                if (!inFiles.contains(id)) {
                    exchange.setMaintenance(id, true);
                    log.info("Endpoint put into maintenance: source=files, endpoint=" + id);
                }
            }
            for (String id : inFiles) {
                if (!current.contains(id)) {
                    exchange.setMaintenance(id, false);
                    log.info("Endpoint released from maintenance: source=files, endpoint=" + id);
                }
            }
            inFiles = current;
        } catch (IOException e) {
            log.warn("Maintenance of the other process not read: cause", e);
        }
    }

    /** Applies the maintenance that operators set in the process before this one. */
    void restore() {
        try {
            if (files != null) {
                inFiles = files.read();
            }
            for (String id : inFiles) {
                exchange.setMaintenance(id, true);
                log.info("Endpoint put into maintenance: source=files, endpoint=" + id);
            }
        } catch (IOException e) {
            log.warn("Maintenance not restored: cause", e);
        }
    }

    /**
     * Takes an endpoint out of service for operators, or puts it back.
     *
     * @return null if that is done, else why it is not
     */
    String set(String id, boolean takenOut) {
        if (!exchange.wasListed(id)) {
            return "no list has named " + id;
        }
        exchange.setMaintenance(id, takenOut);
        try {
            if (files != null) {
                files.set(id, takenOut);
                // Kept equal to the files, as the other process may change them before the next
                // read.
                if (takenOut) {
                    inFiles.add(id);
                } else {
                    inFiles.remove(id);
                }
            }
        } catch (IOException e) {
            // The change is in effect in this process, which is what the operator asked for.
            log.warn("Maintenance not stored: cause", e);
        }
        return null;
    }
}
