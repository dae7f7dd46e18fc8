package poppynotch.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.BalancerSettingsReader;

/**
 * The configuration of a sidecar, read from the file that GW_CONFIG names; immutable.
 *
 * @param adminAddress where operators connect, or null if they cannot
 * @param name the name of this sidecar, the same after a restart; or null, if it is in no fleet
 * @param fleetSection the section {@code fleet} as the file has it, or null
 * @param json the whole object as the file has it
 * @param maxSockets the descriptors that the process may have open
 * @param memoryMb the memory that the process may use, in MB
 * @param idleCloseMs the time after which endpoints close idle connections at the latest
 */
public record SidecarConfig(
        InetSocketAddress listenAddress,
        InetSocketAddress adminAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxSockets,
        int memoryMb,
        double idleCloseMs,
        ServerList.Names names,
        ServerList knownEndpoints,
        BalancerSettings settings,
        String name,
        Map<?, ?> fleetSection,
        Map<?, ?> json) {

    /** Reads the file; a missing or invalid field leads to an exception whose message names it. */
    public static SidecarConfig read(Path file) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
            in.nextToken();
            if (!(in.currentToken() != null
                    && BalancerSettingsReader.readJsonValue(in) instanceof Map<?, ?> config)) {
                throw new IllegalArgumentException(file + " does not hold a JSON object");
            }
            return parse(config);
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException(
                    "GW_CONFIG names a file that does not exist: " + file, e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + " is not JSON: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Reads the file of a configuration that replaces this one; it must have all fields that this
     * configuration has.
     */
    SidecarConfig readSuccessor(Path file) throws IOException {
        SidecarConfig next = read(file);
        requireSameFields("", json, next.json);
        return next;
    }

    private static void requireSameFields(String field, Object before, Object after) {
        if (before instanceof Map<?, ?> old) {
            Map<String, Object> current = object(field.isEmpty() ? "the file" : field, after);
            old.forEach(
                    (key, value) -> {
                        String name = field.isEmpty() ? String.valueOf(key) : field + "." + key;
                        if (!current.containsKey(key)) {
                            throw ServerList.invalidField(name, null);
                        }
                        // Endpoints may have fewer fields; ServerList checks those that are
                        // required.
                        if (!name.equals("known")) {
                            requireSameFields(name, value, current.get(key));
                        }
                    });
        } else if (before instanceof List<?> oldList
                && after instanceof List<?> newList
                && !oldList.isEmpty()
                && oldList.get(0) instanceof Map<?, ?> first) {
            // Entries may be added and removed; each must have the fields that all old ones had.
            Map<Object, Object> shared = new HashMap<>(first);
            oldList.forEach(
                    element ->
                            shared.keySet()
                                    .retainAll(
                                            element instanceof Map<?, ?> fields
                                                    ? fields.keySet()
                                                    : Set.of()));
            newList.forEach(element -> requireSameFields(field + "[]", shared, element));
        }
    }

    private static SidecarConfig parse(Map<?, ?> config) {
        Map<String, Object> settings = object("settings", config.get("settings"));
        Map<String, Object> limits = object("settings.limits", settings.get("limits"));
        object("settings.rules", settings.get("rules"));
        positive("settings.limits.dial-timeout-ms", limits.get("dial-timeout-ms"));
        double tries = positive("settings.limits.try-limit", limits.get("try-limit"));
        if (tries != Math.rint(tries)) {
            throw ServerList.invalidField("settings.limits.try-limit", tries);
        }
        ServerList.Names names =
                new ServerList.Names(
                        strings("settings.azs", settings.get("azs")),
                        strings("settings.models", settings.get("models")));
        Map<String, Object> machine = object("limits", config.get("limits"));
        return new SidecarConfig(
                ServerList.address("listen", config.get("listen")),
                config.get("management") == null
                        ? null
                        : ServerList.address("management", config.get("management")),
                ServerList.address("discovery", config.get("discovery")),
                seed(config.get("seed")),
                (int) Math.ceil(positive("limits.sockets", machine.get("sockets"))),
                (int) Math.ceil(positive("limits.memory_mb", machine.get("memory_mb"))),
                positive("settings.limits.idle-close-ms", limits.get("idle-close-ms")),
                names,
                ServerList.parse(object("known", config.get("known")), names),
                BalancerSettingsReader.readSettings(settings),
                config.get("name") instanceof String name ? name : null,
                config.get("fleet") == null ? null : object("fleet", config.get("fleet")),
                config);
    }

    private static long seed(Object value) {
        try {
            return Long.parseUnsignedLong(value instanceof String text ? text : "", 16);
        } catch (NumberFormatException e) {
            throw ServerList.invalidField("seed", value);
        }
    }

    private static double positive(String field, Object value) {
        if (value instanceof Double number && number > 0) {
            return number;
        }
        throw ServerList.invalidField(field, value);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(String field, Object value) {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw ServerList.invalidField(field, value);
    }

    private static List<String> strings(String field, Object value) {
        if (!(value instanceof List<?> list)) {
            throw ServerList.invalidField(field, value);
        }
        List<String> strings = new ArrayList<>();
        for (Object element : list) {
            strings.add(String.valueOf(element));
        }
        return strings;
    }
}
