package poppynotch.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import poppynotch.numbers.Amounts;
import poppynotch.numbers.NumberRange;

/**
 * Guards against a number of a configuration that is silently changed: each member is refused with
 * its name, or is in force as far as the program can hold it.
 */
class ConfigNumbersTest {

    private static final List<String> VALUES =
            List.of(
                    "-1",
                    "0",
                    "1",
                    "0.5",
                    "2147483647",
                    "2147483648",
                    "4294967296",
                    "4294967346",
                    "9007199254740993",
                    "9223372036854775807",
                    "9223372036854775808",
                    "1e30");

    private static final String CONFIG =
            """
{"Generation":7,"Routes":[
{"Name":"r","Authority":"a","PathPrefix":"/p/","RouteType":"safe","TimeoutMs":5000,
 "TargetLatencyMs":300,"Priority":1,"MaxAttempts":2,"gap_aim_ms":400,
 "WeightedBackends":[{"Backend":"m","Weight":90},{"Backend":"w","Weight":10}]}],
"Backends":[{"Name":"m","MaxConnections":96,"Engine":{"Slots":64,"KvTokens":1000}},{"Name":"w"}],
"Tenants":[{"Name":"t","ApiKeys":["k"],"Unit":"tokens","PlainTokens":200,"RatePerS":5,"Burst":9}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
 "IdleTimeoutMs":15000}}
""";

    private static final double MAX_TIME = NumberRange.MAX_TIME_MS;
    private static final double MAX_COUNT = Integer.MAX_VALUE;
    private static final double MAX_SIZE = NumberRange.SIZE.clamp(new BigDecimal("1e30"));

    /** A numeric member: its text in {@link #CONFIG}, its value in force, and its largest value. */
    private record Member(
            String name, String text, ToDoubleFunction<FleetConfig> inForce, double largest) {}

    private static Member route(
            String name, String value, ToDoubleFunction<Route> get, double max) {
        return new Member(
                name,
                member(name, value),
                config -> get.applyAsDouble(config.routes().get(0)),
                max);
    }

    private static Member backend(
            String name, String value, ToDoubleFunction<Backend> get, double max) {
        return new Member(
                name,
                member(name, value),
                config -> get.applyAsDouble(config.backends().get("m")),
                max);
    }

    private static Member tenant(String name, String value, ToDoubleFunction<Tenant> get) {
        return new Member(
                name,
                member(name, value),
                config -> get.applyAsDouble(config.tenants().get("t")),
                Amounts.MAX_AMOUNT);
    }

    private static Member limit(
            String name, String value, ToDoubleFunction<ClientLimits> get, double max) {
        return new Member(
                name, member(name, value), config -> get.applyAsDouble(config.limits()), max);
    }

    private static String member(String name, String value) {
        return "\"" + name + "\":" + value;
    }

    private static final List<Member> MEMBERS =
            List.of(
                    route("TimeoutMs", "5000", Route::timeoutMs, MAX_TIME),
                    route("TargetLatencyMs", "300", Route::targetLatencyMs, MAX_TIME),
                    route("Priority", "1", Route::priority, 9),
                    route("MaxAttempts", "2", Route::maxAttempts, MAX_COUNT),
                    route("gap_aim_ms", "400", Route::eventGapTargetMs, MAX_TIME),
                    route("Weight", "90", r -> r.backends().get(0).weight(), Amounts.MAX_WEIGHT),
                    backend("MaxConnections", "96", Backend::maxConnections, MAX_COUNT),
                    backend("Slots", "64", Backend::engineSlots, MAX_COUNT),
                    backend("KvTokens", "1000", Backend::kvTokens, MAX_SIZE),
                    tenant("PlainTokens", "200", Tenant::defaultRequestTokens),
                    tenant("RatePerS", "5", Tenant::ratePerS),
                    tenant("Burst", "9", Tenant::burst),
                    limit("MaxHeaderBytes", "16384", ClientLimits::maxHeaderBytes, MAX_COUNT),
                    limit("MaxBodyBytes", "4194304", ClientLimits::maxBodyBytes, MAX_SIZE),
                    limit("HeaderTimeoutMs", "3000", ClientLimits::headerTimeoutMs, MAX_TIME),
                    limit("IdleTimeoutMs", "15000", ClientLimits::idleTimeoutMs, MAX_TIME));

    private static Stream<Arguments> membersAndValues() {
        List<Arguments> cases = new ArrayList<>();
        for (Member member : MEMBERS) {
            VALUES.forEach(value -> cases.add(Arguments.of(member, value)));
        }
        return cases.stream();
    }

    private static ConfigResult read(String json) {
        return ConfigReader.read(json.getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @MethodSource("membersAndValues")
    void numberIsRefusedByNameOrInForce(Member member, String value) {
        assertThat(CONFIG).contains(member.text());
        ConfigResult result = read(CONFIG.replace(member.text(), member(member.name(), value)));
        if (result instanceof ConfigResult.Invalid invalid) {
            boolean isZeroTimeout = member.name().equals("TimeoutMs") && value.equals("0");
            assertThat(value.equals("-1") || isZeroTimeout).isTrue();
            assertThat(invalid.reason()).contains(member.name());
            return;
        }
        double inForce = member.inForce().applyAsDouble(((ConfigResult.Valid) result).config());
        double expected = Math.min(member.largest(), new BigDecimal(value).doubleValue());
        if (member.name().equals("MaxAttempts")) {
            // A request that is routed makes one attempt at least.
            expected = Math.max(1, expected);
        }
        assertWithMessage(member.name() + " " + value)
                .that(Math.abs(inForce - expected) <= (value.equals("0.5") ? 0.5 : 0))
                .isTrue();
    }

    @Test
    void generationIsWholeAndExact() {
        for (String value : VALUES) {
            ConfigResult result =
                    read(CONFIG.replace("\"Generation\":7", member("Generation", value)));
            if (result instanceof ConfigResult.Valid valid) {
                assertThat(valid.config().generation()).isEqualTo(Long.parseLong(value));
            } else {
                assertThat(((ConfigResult.Invalid) result).reason()).contains("Generation is ");
            }
        }
        assertThat(read(CONFIG.replace("\"Generation\":7", "\"Generation\":9223372036854775807")))
                .isInstanceOf(ConfigResult.Valid.class);
    }

    /** A configuration that is in force already must not stop an edge that starts. */
    @Test
    void acceptedConfigurationIsReadWithNearestNumbers() {
        String json = CONFIG.replace("\"RatePerS\":5", "\"RatePerS\":-1");
        assertThat(read(json)).isInstanceOf(ConfigResult.Invalid.class);
        ConfigResult result = ConfigReader.readAccepted(json.getBytes(StandardCharsets.UTF_8));
        FleetConfig config = ((ConfigResult.Valid) result).config();
        assertThat(config.tenants().get("t").isLimited()).isFalse();
    }

    /** Servers are told the name in a header, which could not carry these. */
    @Test
    void refusesTenantNamesThatNoHeaderCanCarry() {
        for (String name : List.of("", " t", "t ", "a\\nb", "a\\u0000", "\\ud83e")) {
            ConfigResult result =
                    read(CONFIG.replace("\"Name\":\"t\"", "\"Name\":\"" + name + "\""));
            assertWithMessage(name).that(result).isInstanceOf(ConfigResult.Invalid.class);
            String reason = ((ConfigResult.Invalid) result).reason();
            assertThat(reason).contains("tenant has a Name");
            assertThat(reason.lines().count()).isEqualTo(1);
        }
        assertThat(read(CONFIG.replace("\"Name\":\"t\"", "\"Name\":\"Taş Evi 🦊\"")))
                .isInstanceOf(ConfigResult.Valid.class);
    }
}
