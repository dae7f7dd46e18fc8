package poppynotch.fleet.host;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The {@code fleet} section of a process's configuration. Immutable.
 *
 * @param fleet name of the fleet; messages of other fleets are rejected
 * @param listen address to listen on, for UDP and TCP; port 0 is any free port
 * @param advertise address at which other members reach this process, or null for the address that
 *     it listens on
 * @param seeds addresses of seed members
 * @param seedsFile a file with further seeds in the format of discovery responses, read again each
 *     time that seeds are needed; or null
 * @param zone the failure domain of this process, or empty
 * @param tier the tier of servers that this process sends requests to, or empty
 * @param version version of the program, or empty for the program's built-in version
 * @param sharesState whether this process shares its observations of servers, and tenants' quotas
 * @param raftServers names of the Raft servers that replicate the leases; empty if there are none
 * @param wantedLeases the preference for each lease that this process wants, by the lease's name; a
 *     free lease is granted to the process with the lowest number
 */
public record FleetSettings(
        String fleet,
        InetSocketAddress listen,
        String advertise,
        List<String> seeds,
        Path seedsFile,
        String zone,
        String tier,
        String version,
        boolean sharesState,
        List<String> raftServers,
        Map<String, Integer> wantedLeases) {

    /**
     * Reads the section.
     *
     * @throws IllegalArgumentException if a field is missing, unknown or invalid; the message names
     *     the field and its value
     */
    public static FleetSettings of(Map<?, ?> section) {
        return new FleetSettingsReader(section).read();
    }
}
