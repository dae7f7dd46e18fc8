package poppynotch.settings;

import com.electronwill.nightconfig.core.io.ParsingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The settings of one process, from the TOML file that the platform writes. Immutable; read at the
 * start of a process, and again when the file changes.
 *
 * @param name the name of the process, unique in the fleet
 * @param ip the IPv4 address of the machine
 * @param zone the zone of the machine; empty if there are no zones
 * @param clientAddress address for client connections; empty for a role that accepts none
 * @param readinessAddress address for the platform's readiness probes
 * @param controlAddress address for connections of servers and operators
 * @param peerPort the port on which control-plane replicas communicate with each other and with
 *     edges, the same on all machines
 * @param seeds control addresses of some control-plane replicas
 * @param bootstrap whether the whole system starts for the first time
 * @param dataDir the directory for state; empty on a machine without a disk
 * @param heartbeatMs the interval at which servers renew their registration
 * @param toleratedMachineFailures number of control-plane machines that may fail at the same time
 * @param limits limits for the whole fleet
 */
public record ProcessSettings(
        String name,
        String ip,
        String zone,
        Optional<HostPort> clientAddress,
        Optional<HostPort> readinessAddress,
        Optional<HostPort> controlAddress,
        int peerPort,
        List<HostPort> seeds,
        boolean bootstrap,
        Optional<Path> dataDir,
        long heartbeatMs,
        int toleratedMachineFailures,
        DeploymentLimits limits) {

    /** The environment variable with the path of the settings file. */
    public static final String FILE_VARIABLE = "POPPYNOTCH_SETTINGS";

    /** Reads and validates a settings file. Unknown keys are ignored. */
    public static SettingsResult read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            return new SettingsResult.Invalid("can't read " + file + ": " + e.getMessage());
        }
    }

    /** Parses and validates the text of a settings file. Unknown keys are ignored. */
    public static SettingsResult parse(String toml) {
        try {
            return new SettingsResult.Valid(new ProcessSettingsReader(toml).read());
        } catch (ParsingException | IllegalArgumentException | ClassCastException e) {
            return new SettingsResult.Invalid("bad settings: " + firstLine(e));
        }
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
    }
}
