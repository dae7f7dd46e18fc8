package poppynotch.settings;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import poppynotch.numbers.NumberRange;

/** Guards against misread settings, and against errors reported without the key or file. */
class ProcessSettingsTest {

    private static final String VALID_SETTINGS =
            """
            NodeName = "edge-1"
            Ip = "10.1.0.3"
            Zone = "z"
            EphemeralPorts = [7500,7515]
            Seeds = ["10.1.0.6:8367","10.2.0.20:8367"]
            Bootstrap = true
            HeartbeatMs = 1200
            Unknown = {a = 1}
            [Bind]
            Front = "10.1.0.3:8360"
            [Bounds]
            BudgetSlack = 52
            RetryBudgetRatio = 0.2
            """;

    private static String reasonOf(String toml) {
        return ((SettingsResult.Invalid) ProcessSettings.parse(toml)).reason();
    }

    @Test
    void readsSettingsAndIgnoresUnknownKeys() {
        ProcessSettings settings =
                ((SettingsResult.Valid) ProcessSettings.parse(VALID_SETTINGS)).settings();
        assertThat(settings.seeds())
                .containsExactly(new HostPort("10.1.0.6", 8367), new HostPort("10.2.0.20", 8367))
                .inOrder();
        assertThat(settings.peerPort()).isEqualTo(7500);
        assertThat(settings.clientAddress()).isEqualTo(Optional.of(new HostPort("10.1.0.3", 8360)));
        assertThat(settings.controlAddress()).isEqualTo(Optional.empty());
        assertThat(settings.limits().retryBudgetSlack()).isEqualTo(52.0);
    }

    @Test
    void reportsMissingOrInvalidKeyOnOneLine() {
        assertThat(reasonOf(VALID_SETTINGS.replace("NodeName = \"edge-1\"", "")))
                .contains("NodeName is missing");
        assertThat(reasonOf(VALID_SETTINGS.replace("10.1.0.3:8360", "10.1.0.3")))
                .contains("no HOST:PORT");
        assertThat(reasonOf(VALID_SETTINGS.replace("[7500,7515]", "[]")))
                .contains("EphemeralPorts");
        assertThat(reasonOf("NodeName = ").lines().count()).isEqualTo(1);
        assertThat(reasonOf(VALID_SETTINGS.replace("\"edge-1\"", "7")).lines().count())
                .isEqualTo(1);
    }

    /** Guards against settings that wrap around or turn into 0 where a number is large or none. */
    @Test
    void clampsNumbersToWhatTheProcessCanHold() {
        for (String number : new String[] {"2147483648", "9223372036854775807", "1e30", "inf"}) {
            ProcessSettings settings =
                    ((SettingsResult.Valid)
                                    ProcessSettings.parse(
                                            VALID_SETTINGS.replace("1200", number)
                                                    + "GraceS = "
                                                    + number
                                                    + "\n[FaultTolerance]\nMachines = "
                                                    + number))
                            .settings();
            assertThat(settings.heartbeatMs()).isAtLeast(Integer.MAX_VALUE);
            assertThat(settings.heartbeatMs()).isAtMost(NumberRange.MAX_TIME_MS);
            assertThat(settings.limits().graceMs()).isAtLeast(Integer.MAX_VALUE);
            assertThat(settings.toleratedMachineFailures()).isAtLeast(9);
            assertThat(2 * settings.toleratedMachineFailures() + 1).isGreaterThan(0);
        }
        assertThat(reasonOf(VALID_SETTINGS.replace("1200", "nan"))).contains("HeartbeatMs");
        assertThat(reasonOf(VALID_SETTINGS.replace("[7500,7515]", "[4294974796,4294974800]")))
                .contains("EphemeralPorts is 4294974796");
    }

    @Test
    void reportsUnreadableFile() {
        SettingsResult result = ProcessSettings.read(Path.of("no-such-file.toml"));
        assertThat(((SettingsResult.Invalid) result).reason()).contains("no-such-file.toml");
    }
}
