package poppynotch.sidecar;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/** What operators took out of service: in this process, and in the files that outlast it. */
final class Maintenance {

    private final Exchange exchange;
    private final RateLimitedLog complaints;

    /** Null where nothing is kept. */
    private final MaintenanceFiles kept;

    /** What the files told last. */
    private Set<String> out = new TreeSet<>();

    /** Keeps files in a folder, or none where that is null. */
    Maintenance(Exchange exchange, RateLimitedLog complaints, Path folder) {
        this.exchange = exchange;
        this.complaints = complaints;
        kept = folder == null ? null : new MaintenanceFiles(folder, complaints);
    }

    /** Follows what the other process of an upgrade was told. */
    void follow() {
        try {
            Set<String> said = kept.read();
            for (String id : said) {
                if (!out.contains(id)) {
                    exchange.setMaintenance(id, true);
                    complaints.info("in maintenance by the files: " + id);
                }
            }
            for (String id : out) {
                if (!said.contains(id)) {
                    exchange.setMaintenance(id, false);
                    complaints.info("back from maintenance by the files: " + id);
                }
            }
            out = said;
        } catch (IOException e) {
            complaints.warn("what the other process was told of maintenance is not known", e);
        }
    }

    /** Takes up what was said to the process before this one. */
    void restore() {
        try {
            if (kept != null) {
                out = kept.read();
            }
            for (String id : out) {
                exchange.setMaintenance(id, true);
                complaints.info("in maintenance by the files: " + id);
            }
        } catch (IOException e) {
            complaints.warn("what was in maintenance before the start is not known", e);
        }
    }

    /** Operators take a nodo out, or give it back; returns null if that is done, else why not. */
    String set(String id, boolean takenOut) {
        if (!exchange.hasNamed(id)) {
            return "no list has named " + id;
        }
        exchange.setMaintenance(id, takenOut);
        try {
            if (kept != null) {
                kept.set(id, takenOut);
                // As the files are now: the other process may change them before the next look.
                if (takenOut) {
                    out.add(id);
                } else {
                    out.remove(id);
                }
            }
        } catch (IOException e) {
            // It holds in this process, which is what was asked for.
            complaints.warn("maintenance will not outlast this process", e);
        }
        return null;
    }
}
