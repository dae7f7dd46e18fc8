package poppynotch.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against invalid configurations that are accepted, and against misread valid ones. */
class ConfigReaderTest {

    private static final String VALID_CONFIG =
            """
{"Generation":7,"Routes":[
{"Name":"r1","Authority":"A.example","PathPrefix":"/p/","RouteType":"streaming","TimeoutMs":5000,
 "Priority":1,"Backend":"m","MaxAttempts":2,"StreamResume":true,"Unknown":[1]},
{"Name":"r2","Authority":"a.example","PathPrefix":"/p/q/","RouteType":"unsafe","TimeoutMs":900,
 "WeightedBackends":[{"Backend":"m","Weight":90},{"Backend":"w","Weight":10}]}],
"Backends":[{"Name":"m","Engine":{"Slots":64,"KvTokens":1000}},{"Name":"w"}],
"Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Unit":"tokens","PlainTokens":200,
 "RatePerS":5,"Burst":9}]}
""";

    private static ConfigResult read(String json) {
        return ConfigReader.read(json.getBytes(StandardCharsets.UTF_8));
    }

    private static FleetConfig readValid(String json) {
        return ((ConfigResult.Valid) read(json)).config();
    }

    @Test
    void routesByLongestPrefix() {
        FleetConfig config = readValid(VALID_CONFIG);
        assertThat(config.findRoute("a.example", "/p/x").orElseThrow().name()).isEqualTo("r1");
        assertThat(config.findRoute("a.example", "/p/q/x").orElseThrow().name()).isEqualTo("r2");
        assertThat(config.findRoute("a.example", "/other").isPresent()).isFalse();
        assertThat(config.findRoute("b.example", "/p/x").isPresent()).isFalse();
    }

    @Test
    void findsTenantsByApiKeyAndBackendsByName() {
        FleetConfig config = readValid(VALID_CONFIG);
        assertThat(config.tenantByApiKey("k2").orElseThrow().name()).isEqualTo("t");
        assertThat(config.tenantByApiKey("k3").isPresent()).isFalse();
        assertThat(config.backends().get("m").hasEngine()).isTrue();
        assertThat(config.backends().get("w").hasEngine()).isFalse();
    }

    private static void assertRejected(String from, String to) {
        String json = VALID_CONFIG.replace(from, to);
        assertWithMessage(from).that(json).isNotEqualTo(VALID_CONFIG);
        ConfigResult result = read(json);
        assertWithMessage(to).that(result).isInstanceOf(ConfigResult.Invalid.class);
        assertThat(((ConfigResult.Invalid) result).reason().lines().count()).isEqualTo(1);
    }

    @Test
    void rejectsInvalidConfigurationWithReasonOnOneLine() {
        assertRejected("\"Backend\":\"m\",\"MaxAttempts\"", "\"Backend\":\"none\",\"MaxAttempts\"");
        assertRejected("/p/q/", "/p/");
        assertRejected(
                "\"Weight\":90},{\"Backend\":\"w\",\"Weight\":10}",
                "\"Weight\":0},{\"Backend\":\"w\",\"Weight\":0}");
        assertRejected("\"TimeoutMs\":900", "\"TimeoutMs\":0");
        assertRejected("\"Generation\":7", "\"Generation\":\"seven\"");
        assertRejected("\"Generation\":7,", "");
        assertRejected(
                "{\"Name\":\"t\",\"ApiKeys\":[\"k1\",\"k2\"]",
                "{\"Name\":\"u\",\"ApiKeys\":[\"k1\"]},{\"Name\":\"t\",\"ApiKeys\":[\"k1\",\"k2\"]");
        assertRejected("\"Burst\":9}]}", "\"Burst\":9");
        assertRejected("\"RouteType\":\"unsafe\"", "\"RouteType\":\"often\"");
    }

    @Test
    void patchReplacesAndRemovesItemsByName() {
        ConfigResult.Valid before = (ConfigResult.Valid) read(VALID_CONFIG);
        String patch =
                """
{"Generation":9,"Upsert":{"Routes":[{"Name":"r1","Authority":"a.example","PathPrefix":"/n/",
"RouteType":"safe","TimeoutMs":70,"Backend":"w"}]},"Remove":{"Routes":["r2"]}}
""";
        ConfigResult after =
                ConfigPatch.apply(
                        before.document(),
                        ConfigReader.parse(patch.getBytes(StandardCharsets.UTF_8)));
        FleetConfig config = ((ConfigResult.Valid) after).config();
        assertThat(config.generation()).isEqualTo(9);
        assertThat(config.routes()).hasSize(1);
        assertThat(config.routes().get(0).timeoutMs()).isEqualTo(70);
        assertThat(config.tenants()).hasSize(1);
    }

    @Test
    void rejectsPatchThatRemovesBackendInUse() {
        ConfigResult.Valid before = (ConfigResult.Valid) read(VALID_CONFIG);
        String patch = "{\"Generation\":9,\"Remove\":{\"Backends\":[\"w\"]}}";
        assertThat(
                        ConfigPatch.apply(
                                before.document(),
                                ConfigReader.parse(patch.getBytes(StandardCharsets.UTF_8))))
                .isInstanceOf(ConfigResult.Invalid.class);
    }

    @Test
    void codecRestoresDocument() {
        ConfigResult.Valid valid = (ConfigResult.Valid) read(VALID_CONFIG);
        byte[] json = DocumentCodec.decode(DocumentCodec.encode(valid.document()));
        assertThat(ConfigReader.parse(json)).isEqualTo(valid.document());
    }
}
