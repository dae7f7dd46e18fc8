package poppynotch.pool;

import java.util.Set;
import poppynotch.wire.ServerRecord;

/** Selects the servers of a service that an attempt may go to by their versions. Immutable. */
public sealed interface VersionChoice {

    /** Whether a server may take the attempt. */
    boolean admits(ServerRecord server);

    /** All servers, for a fleet that has recorded no version of any service. */
    record Any() implements VersionChoice {
        @Override
        public boolean admits(ServerRecord server) {
            return true;
        }
    }

    /**
     * Servers of the serving version, and servers that state no version.
     *
     * @param version the serving version; empty while the fleet has not recorded one
     */
    record Serving(String version) implements VersionChoice {
        @Override
        public boolean admits(ServerRecord server) {
            return server.version().isEmpty() || server.version().equals(version);
        }
    }

    /** The trial servers of a new version; each attempt there counts against the budget. */
    record Trial(String backend, long rolloutId, String version, Set<String> serverIds)
            implements VersionChoice {
        @Override
        public boolean admits(ServerRecord server) {
            return server.version().equals(version) && serverIds.contains(server.id());
        }
    }

    /** All servers of a proven new version. */
    record Target(String version) implements VersionChoice {
        @Override
        public boolean admits(ServerRecord server) {
            return server.version().equals(version);
        }
    }
}
