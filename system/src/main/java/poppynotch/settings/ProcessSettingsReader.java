package poppynotch.settings;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.toml.TomlParser;
import java.math.BigDecimal;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import poppynotch.numbers.NumberRange;

/**
 * Reads {@link ProcessSettings} from one TOML text. Throws {@code ParsingException}, {@code
 * IllegalArgumentException} or {@code ClassCastException} with a message for the operator if the
 * text is invalid.
 */
final class ProcessSettingsReader {

    private static final long DEFAULT_HEARTBEAT_MS = 1000;
    private static final int DEFAULT_TOLERATED_MACHINE_FAILURES = 1;
    private static final double MS_PER_S = 1000;
    private static final NumberRange PORTS = NumberRange.of(0, 65_535);

    /** More machines than any control plane has. */
    private static final NumberRange MACHINES = NumberRange.of(0, 1000);

    private final Config config;

    ProcessSettingsReader(String toml) {
        config = new TomlParser().parse(toml);
    }

    ProcessSettings read() {
        List<Number> ports = required("EphemeralPorts");
        if (ports.isEmpty()) {
            throw new IllegalArgumentException("EphemeralPorts is empty");
        }
        List<String> seeds = required("Seeds");
        return new ProcessSettings(
                required("NodeName"),
                required("Ip"),
                textOr("Zone", ""),
                address("Bind.Front"),
                address("Bind.Readiness"),
                address("Bind.Control"),
                (int) PORTS.readExact("EphemeralPorts", decimal("EphemeralPorts", ports.get(0))),
                seeds.stream().map(HostPort::parse).toList(),
                Boolean.TRUE.equals(config.get("Bootstrap")),
                dataDir(),
                NumberRange.TIME_MS.clamp(numberOr("HeartbeatMs", DEFAULT_HEARTBEAT_MS)),
                (int)
                        MACHINES.clamp(
                                numberOr(
                                        "FaultTolerance.Machines",
                                        DEFAULT_TOLERATED_MACHINE_FAILURES)),
                limits());
    }

    private DeploymentLimits limits() {
        return new DeploymentLimits(
                millisOfSecondsOr("Bounds.GraceS", 8),
                numberOr("Bounds.RetryBudgetRatio", 0.2),
                numberOr("Bounds.BudgetSlack", 10),
                millisOfSecondsOr("Bounds.BudgetWindowS", 10),
                numberOr("Bounds.QuotaOver", 0),
                numberOr("Bounds.QuotaSlack", 0),
                millisOfSecondsOr("Bounds.QuotaWindowS", 8),
                numberOr("Bounds.ExposeShare", 0.1),
                numberOr("Bounds.ExposeSlack", 50));
    }

    /** The value of a key. The type is checked by a cast in the caller. */
    @SuppressWarnings("TypeParameterUnusedInFormals")
    private <T> T required(String key) {
        T value = config.get(key);
        if (value == null) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return value;
    }

    private String textOr(String key, String defaultValue) {
        String value = config.get(key);
        return value == null ? defaultValue : value;
    }

    private double numberOr(String key, double defaultValue) {
        Number value = config.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (Double.isNaN(value.doubleValue())) {
            throw new IllegalArgumentException(key + " is not a number");
        }
        return value.doubleValue();
    }

    private static BigDecimal decimal(String key, Number value) {
        double number = value.doubleValue();
        if (Double.isNaN(number) || Double.isInfinite(number)) {
            throw new IllegalArgumentException(key + " is not a number: " + value);
        }
        return new BigDecimal(value.toString());
    }

    /** A time that is set in seconds, converted to ms. */
    private long millisOfSecondsOr(String key, double defaultSeconds) {
        return NumberRange.TIME_MS.clamp(numberOr(key, defaultSeconds) * MS_PER_S);
    }

    private Optional<Path> dataDir() {
        return Optional.ofNullable(config.<String>get("DataDir"))
                .filter(path -> !path.isEmpty())
                .map(Path::of);
    }

    private Optional<HostPort> address(String key) {
        String value = config.get(key);
        return value == null || value.isEmpty()
                ? Optional.empty()
                : Optional.of(HostPort.parse(value));
    }
}
