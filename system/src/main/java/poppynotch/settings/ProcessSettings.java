package poppynotch.settings;

import com.electronwill.nightconfig.core.io.ParsingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The settings of one process, from the TOML file that the platform writes. Immutable; read once at
 * the start of a process, and again when the file changes.
 *
 * @param name the name of the process, unique in the fleet
 * @param ip the IPv4 address of its machine
 * @param zone the zone of its machine; empty if there are none
 * @param clientAddress where clients connect; empty for a role that serves none
 * @param readinessAddress where the platform asks whether the process is ready
 * @param controlAddress where servers and operators connect
 * @param peerPort the port on which control-plane replicas communicate with each other and with
 *     edges, the same on all machines
 * @param seeds control addresses of a few control-plane replicas
 * @param bootstrap whether the whole system starts for the first time
 * @param dataDir the folder for state; empty on a machine without a disk
 * @param heartbeatMs the interval at which servers renew their registration
 * @param toleratedMachineFailures how many machines of control-plane replicas may fail at once
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

    /** The environment variable that names the settings file. */
    public static final String FILE_VARIABLE = "POPPYNOTCH_SETTINGS";

    /** Reads and checks a settings file; unknown keys are ignored. */
    public static SettingsResult read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            return new SettingsResult.Invalid("can't read " + file + ": " + e.getMessage());
        }
    }

    /** Reads and checks the text of a settings file; unknown keys are ignored. */
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
