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
 * The {@code fleet} section of a process's configuration.
 *
 * @param fleet the fleet's name; processes of other fleets are strangers
 * @param listen where to listen, on UDP and TCP; port 0 is any that is free
 * @param advertise where others reach this process, or null for where it listens
 * @param seeds where members may be found
 * @param seedsFile a file with more of them in discovery's form, read again whenever they are
 *     needed; or null
 * @param zone where this process stands, or empty
 * @param tier the tier that it sends to, or empty
 * @param version of the program, or empty for the one it has itself
 * @param shares whether it shares what it sees of servers, and tenants' allowances
 * @param keepers the names of those that keep the log of duties, or none
 * @param duties those that this process wants, each with how much: of two that want one the lower
 *     number goes first
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
        boolean shares,
        List<String> keepers,
        Map<String, Integer> duties) {

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

    /**
     * Reads the section.
     *
     * @throws IllegalArgumentException naming the field that is missing, unknown or bad, and its
     *     value
     */
    public static FleetSettings of(Map<?, ?> section) {
        section.keySet()
                .forEach(
                        key -> {
                            if (!KEYS.contains(String.valueOf(key))) {
                                throw new IllegalArgumentException(
                                        "field fleet."
                                                + key
                                                + " is none of "
                                                + String.join(", ", KEYS));
                            }
                        });
        List<String> seeds = new ArrayList<>();
        if (section.get("seeds") instanceof List<?> list) {
            list.forEach(seed -> seeds.add(address("seeds[]", seed)));
        } else if (section.get("seeds") != null) {
            throw bad("seeds", section.get("seeds"));
        }
        Object file = section.get("seeds_file");
        if (file != null && !(file instanceof String)) {
            throw bad("seeds_file", file);
        }
        return new FleetSettings(
                word(section, "name", true),
                listen(section.get("listen")),
                section.get("advertise") == null
                        ? null
                        : address("advertise", section.get("advertise")),
                seeds,
                file == null ? null : Path.of((String) file),
                word(section, "zone", false),
                word(section, "tier", false),
                word(section, "version", false),
                flag(section, "share"),
                keepers(section),
                duties(section));
    }

    private static InetSocketAddress listen(Object value) {
        // Port 0 is an address to listen on, though none to be reached at.
        if (value instanceof String text
                && text.endsWith(":0")
                && Addresses.isAddress(text.substring(0, text.length() - 1) + "1")) {
            String some = text.substring(0, text.length() - 1) + "1";
            return new InetSocketAddress(Addresses.of(some).getAddress(), 0);
        }
        return Addresses.of(address("listen", value));
    }

    private static String address(String field, Object value) {
        if (value instanceof String text && Addresses.isAddress(text)) {
            return text;
        }
        throw bad(field, value);
    }

    private static String word(Map<?, ?> section, String field, boolean needed) {
        Object value = section.get(field);
        if (value == null && !needed) {
            return "";
        }
        if (value instanceof String text && MemberProfile.isWord(text)) {
            return text;
        }
        throw bad(field, value);
    }

    private static List<String> keepers(Map<?, ?> section) {
        Object value = section.get("keepers");
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list
                && !list.isEmpty()
                && list.stream()
                        .allMatch(
                                each ->
                                        each instanceof String text
                                                && MemberProfile.isWord(text))) {
            return list.stream().map(String::valueOf).toList();
        }
        throw bad("keepers", value);
    }

    private static Map<String, Integer> duties(Map<?, ?> section) {
        Map<String, Integer> duties = new TreeMap<>();
        if (section.get("duties") == null) {
            return duties;
        }
        if (!(section.get("duties") instanceof Map<?, ?> map)) {
            throw bad("duties", section.get("duties"));
        }
        map.forEach(
                (duty, preference) -> {
                    boolean usable =
                            duty instanceof String text
                                    && MemberProfile.isWord(text)
                                    && preference instanceof Number number
                                    && number.intValue() == number.doubleValue()
                                    && number.intValue() >= 0;
                    if (!usable) {
                        throw bad("duties." + duty, preference);
                    }
                    duties.put((String) duty, ((Number) preference).intValue());
                });
        if (section.get("keepers") == null) {
            throw bad("keepers", null);
        }
        return duties;
    }

    private static boolean flag(Map<?, ?> section, String field) {
        Object value = section.get(field);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw bad(field, value);
    }

    private static IllegalArgumentException bad(String field, Object value) {
        return new IllegalArgumentException(
                value == null
                        ? "field fleet." + field + " is missing"
                        : "field fleet." + field + " is not usable: " + value);
    }
}
