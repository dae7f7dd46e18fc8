package poppynotch.fleet.host;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.wire.Addresses;

/**
 * Reads and validates the {@code fleet} section of a configuration. An instance reads one section.
 * All errors are {@link IllegalArgumentException}s that name the field and its value.
 */
final class FleetSettingsReader {

    private static final List<String> KEYS =
            List.of(
                    "name",
                    "listen",
                    "advertise",
                    "seeds",
                    "seeds_file",
                    "zone",
                    "tier",
                    "version",
                    "share",
                    "keepers",
                    "duties");

    private final Map<?, ?> section;

    FleetSettingsReader(Map<?, ?> section) {
        this.section = section;
    }

    FleetSettings read() {
        checkKeys();
        List<String> seeds = seeds();
        Path seedsFile = seedsFile();
        return new FleetSettings(
                requiredName("name"),
                listenAddress(),
                advertisedAddress(),
                seeds,
                seedsFile,
                optionalName("zone"),
                optionalName("tier"),
                optionalName("version"),
                flag("share"),
                raftServers(),
                wantedLeases());
    }

    private void checkKeys() {
        for (Object key : section.keySet()) {
            if (!KEYS.contains(String.valueOf(key))) {
                throw new IllegalArgumentException(
                        "field fleet." + key + " is none of " + String.join(", ", KEYS));
            }
        }
    }

    private List<String> seeds() {
        List<String> seeds = new ArrayList<>();
        Object value = section.get("seeds");
        if (value instanceof List<?> list) {
            list.forEach(seed -> seeds.add(address("seeds[]", seed)));
        } else if (value != null) {
            throw invalid("seeds", value);
        }
        return seeds;
    }

    private Path seedsFile() {
        Object value = section.get("seeds_file");
        if (value == null) {
            return null;
        }
        if (value instanceof String file) {
            return Path.of(file);
        }
        throw invalid("seeds_file", value);
    }

    private InetSocketAddress listenAddress() {
        Object value = section.get("listen");
        if (value instanceof String text && text.endsWith(":0")) {
            // Port 0 is valid for listening, but not as the port of a remote address.
            String withPortOne = text.substring(0, text.length() - 1) + "1";
            if (Addresses.isAddress(withPortOne)) {
                return new InetSocketAddress(Addresses.of(withPortOne).getAddress(), 0);
            }
        }
        return Addresses.of(address("listen", value));
    }

    private String advertisedAddress() {
        Object value = section.get("advertise");
        return value == null ? null : address("advertise", value);
    }

    private static String address(String field, Object value) {
        if (value instanceof String text && Addresses.isAddress(text)) {
            return text;
        }
        throw invalid(field, value);
    }

    private String optionalName(String field) {
        return section.get(field) == null ? "" : requiredName(field);
    }

    private String requiredName(String field) {
        Object value = section.get(field);
        if (isName(value)) {
            return (String) value;
        }
        throw invalid(field, value);
    }

    private static boolean isName(Object value) {
        return value instanceof String text && MemberProfile.isValidName(text);
    }

    private boolean flag(String field) {
        Object value = section.get(field);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw invalid(field, value);
    }

    private List<String> raftServers() {
        Object value = section.get("keepers");
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list
                && !list.isEmpty()
                && list.stream().allMatch(FleetSettingsReader::isName)) {
            return list.stream().map(String::valueOf).toList();
        }
        throw invalid("keepers", value);
    }

    private Map<String, Integer> wantedLeases() {
        Map<String, Integer> preferences = new TreeMap<>();
        Object value = section.get("duties");
        if (value == null) {
            return preferences;
        }
        if (!(value instanceof Map<?, ?> map)) {
            throw invalid("duties", value);
        }
        map.forEach(
                (lease, preference) -> {
                    if (!isName(lease) || !isPreference(preference)) {
                        throw invalid("duties." + lease, preference);
                    }
                    preferences.put((String) lease, ((Number) preference).intValue());
                });
        if (section.get("keepers") == null) {
            throw invalid("keepers", null);
        }
        return preferences;
    }

    private static boolean isPreference(Object value) {
        return value instanceof Number number
                && number.intValue() == number.doubleValue()
                && number.intValue() >= 0;
    }

    private static IllegalArgumentException invalid(String field, Object value) {
        return new IllegalArgumentException(
                value == null
                        ? "field fleet." + field + " is missing"
                        : "field fleet." + field + " is not usable: " + value);
    }
}
