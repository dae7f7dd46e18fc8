package poppynotch.config;

import static poppynotch.config.InvalidConfigException.require;

import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import java.util.List;
import poppynotch.transport.HeadText;

/**
 * Validates what only a new configuration has to fulfil: values that an edge could not apply as
 * they are meant. A configuration that is in force already is read without these checks.
 */
final class ChangeValidator {

    private static final List<String> ROUTE_NUMBERS =
            List.of("TimeoutMs", "TargetLatencyMs", "Priority", "MaxAttempts", "gap_aim_ms");
    private static final List<String> BACKEND_NUMBERS = List.of("MaxConnections");
    private static final List<String> ENGINE_NUMBERS = List.of("Slots", "KvTokens");
    private static final List<String> TENANT_NUMBERS =
            List.of("Priority", "PlainTokens", "RatePerS", "Burst");
    private static final List<String> LIMITS =
            List.of("MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs");

    private ChangeValidator() {}

    /** Checks a document that {@link ConfigDecoder} accepts. */
    static void check(JsonObject document) {
        for (JsonObject route : JsonMembers.objects(document, "Routes")) {
            checkNotNegative("route " + name(route) + ": ", route, ROUTE_NUMBERS);
        }
        for (JsonObject backend : JsonMembers.objects(document, "Backends")) {
            String label = "backend " + name(backend) + ": ";
            checkNotNegative(label, backend, BACKEND_NUMBERS);
            checkNotNegative(
                    label + "Engine.",
                    JsonMembers.objectOrEmpty(backend, "Engine"),
                    ENGINE_NUMBERS);
        }
        for (JsonObject tenant : JsonMembers.objects(document, "Tenants")) {
            checkNotNegative("tenant " + name(tenant) + ": ", tenant, TENANT_NUMBERS);
            checkTenantName(name(tenant));
        }
        checkNotNegative("Limits.", JsonMembers.objectOrEmpty(document, "Limits"), LIMITS);
    }

    private static String name(JsonObject item) {
        return JsonMembers.requiredString(item, "Name");
    }

    private static void checkNotNegative(String label, JsonObject item, List<String> members) {
        for (String member : members) {
            if (item.containsKey(member)) {
                JsonNumber number = item.getJsonNumber(member);
                require(
                        number.bigDecimalValue().signum() >= 0,
                        label + member + " is negative: " + number);
            }
        }
    }

    /** Servers receive the name in a header. */
    private static void checkTenantName(String name) {
        require(
                HeadText.isEncodable(name),
                "tenant has a Name that no header can carry (empty, blank at an end, control"
                        + " character or half a surrogate pair): "
                        + HeadText.printable(name));
    }
}
