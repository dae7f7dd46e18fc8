package poppynotch.settings;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * One process's settings, from the TOML file that the platform writes. Unknown keys are ignored.
 *
 * @param front where clients connect; empty for a role that serves none
 * @param readiness where the platform asks whether the process is ready
 * @param control where servers and operators connect
 * @param peerPort the port on which core processes talk to each other and to edges, the same on all
 *     machines
 * @param seeds control addresses of a few core processes
 * @param bootstrap the whole system starts for the first time
 * @param dataDir where state is kept; empty on a machine without a disk
 * @param toleratedMachines core machines that may be lost at once
 */
public record ProcessSettings(
        String name,
        String ip,
        String zone,
        Optional<HostPort> front,
        Optional<HostPort> readiness,
        Optional<HostPort> control,
        int peerPort,
        List<HostPort> seeds,
        boolean bootstrap,
        Optional<Path> dataDir,
        long heartbeatMs,
        int maxDescriptors,
        int memoryMb,
        int toleratedMachines,
        DeploymentLimits bounds) {

    /** The variable that names the settings file. */
    public static final String FILE_VARIABLE = "POPPYNOTCH_SETTINGS";

    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int DEFAULT_MEMORY_MB = 256;
    private static final long DEFAULT_HEARTBEAT_MS = 1000;
    private static final double MS = 1000;

    /** Reads and checks the file. */
    public static SettingsResult read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            return new SettingsResult.Bad("can't read " + file + ": " + e.getMessage());
        }
    }

    /** Reads and checks settings. */
    public static SettingsResult parse(String toml) {
        try {
            return new SettingsResult.Good(from(new TomlParser().parse(toml)));
        } catch (ParsingException | IllegalArgumentException | ClassCastException e) {
            return new SettingsResult.Bad(
                    "bad settings: "
                            + String.valueOf(e.getMessage())
                                    .lines()
                                    .findFirst()
                                    .orElse("unreadable"));
        }
    }

    private static ProcessSettings from(Config config) {
        List<Number> ports = required(config, "EphemeralPorts");
        if (ports.isEmpty()) {
            throw new IllegalArgumentException("EphemeralPorts is empty");
        }
        List<String> seeds = required(config, "Seeds");
        return new ProcessSettings(
                required(config, "NodeName"),
                required(config, "Ip"),
                text(config, "Zone", ""),
                address(config, "Bind.Front"),
                address(config, "Bind.Readiness"),
                address(config, "Bind.Control"),
                ports.get(0).intValue(),
                seeds.stream().map(HostPort::parse).toList(),
                Boolean.TRUE.equals(config.get("Bootstrap")),
                Optional.ofNullable(config.<String>get("DataDir"))
                        .filter(path -> !path.isEmpty())
                        .map(Path::of),
                (long) number(config, "HeartbeatMs", DEFAULT_HEARTBEAT_MS),
                (int) number(config, "Limits.MaxFds", DEFAULT_DESCRIPTORS),
                (int) number(config, "Limits.MemoryMb", DEFAULT_MEMORY_MB),
                (int) number(config, "FaultTolerance.Machines", 1),
                bounds(config));
    }

    private static DeploymentLimits bounds(Config config) {
        return new DeploymentLimits(
                (long) number(config, "Bounds.ContactMs", 3000),
                (long) number(config, "Bounds.AckMs", 4000),
                (long) number(config, "Bounds.DrainMs", 2000),
                (long) (number(config, "Bounds.GraceS", 8) * MS),
                (long) number(config, "Bounds.ConfigMs", 2000),
                number(config, "Bounds.RetryBudgetRatio", 0.2),
                number(config, "Bounds.BudgetSlack", 10),
                (long) (number(config, "Bounds.BudgetWindowS", 10) * MS),
                number(config, "Bounds.QuotaOver", 0),
                number(config, "Bounds.QuotaSlack", 0),
                (long) (number(config, "Bounds.QuotaWindowS", 8) * MS));
    }

    private static <T> T required(Config config, String key) {
        T value = config.get(key);
        if (value == null) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return value;
    }

    private static String text(Config config, String key, String fallback) {
        String value = config.get(key);
        return value == null ? fallback : value;
    }

    private static double number(Config config, String key, double fallback) {
        Number value = config.get(key);
        return value == null ? fallback : value.doubleValue();
    }

    private static Optional<HostPort> address(Config config, String key) {
        String value = config.get(key);
        return value == null || value.isEmpty()
                ? Optional.empty()
                : Optional.of(HostPort.parse(value));
    }
}
