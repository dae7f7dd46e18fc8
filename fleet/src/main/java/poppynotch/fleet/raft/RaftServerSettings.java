package poppynotch.fleet.raft;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import poppynotch.fleet.host.FleetSettings;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.wire.Addresses;

/**
 * The settings of a {@link RaftServer}, from a JSON file. Immutable.
 *
 * @param name member name in the fleet, the same after a restart
 * @param adminAddress where the admin server listens for operators
 * @param fleet the fleet's settings, as in a sidecar's section {@code fleet}
 * @param logFolder folder of the Raft log; must survive restarts of the process and of the machine
 * @param founders member names of the replicas that found the group; three or five
 * @param generation generation of the group; raised by one each time that the group is founded anew
 *     after its log was lost
 */
public record RaftServerSettings(
        String name,
        InetSocketAddress adminAddress,
        FleetSettings fleet,
        Path logFolder,
        List<String> founders,
        long generation) {

    /** The start modes of a server. */
    public enum StartMode {
        /** Continues with the log in its folder. */
        CONTINUE,
        /** Founds the group, when none of its replicas has a log yet. */
        FOUND,
        /** Joins as a new replica, which has no vote until it is added to the group. */
        JOIN
    }

    private static final long MAX_GENERATIONS = 1 << 20;

    /**
     * Reads the settings from a JSON file.
     *
     * @throws IOException if the file cannot be read
     * @throws IllegalArgumentException if a field is missing or invalid; the message names the
     *     field
     */
    public static RaftServerSettings read(Path file) throws IOException {
        Map<?, ?> root = parse(file);
        Map<?, ?> keep = object("keep", root);
        if (!(root.get("name") instanceof String name) || !MemberProfile.isValidName(name)) {
            throw invalid("name", root.get("name"));
        }
        if (!(root.get("management") instanceof String adminAddress)
                || !Addresses.isAddress(adminAddress)) {
            throw invalid("management", root.get("management"));
        }
        Map<?, ?> fleet = object("fleet", root);
        if (!(keep.get("folder") instanceof String folder) || folder.isEmpty()) {
            throw invalid("keep.folder", keep.get("folder"));
        }
        List<String> founders = founders(keep.get("founders"));
        long generation = generation(keep.get("group"));
        return new RaftServerSettings(
                name,
                Addresses.of(adminAddress),
                FleetSettings.of(fleet),
                Path.of(folder),
                founders,
                generation);
    }

    private static Map<?, ?> parse(Path file) throws IOException {
        try {
            return new ObjectMapper().readValue(Files.readAllBytes(file), Map.class);
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("there is no file " + file, e);
        } catch (JacksonException e) {
            throw new IllegalArgumentException(
                    file + " is not a JSON object: " + e.getOriginalMessage(), e);
        }
    }

    /** A field whose value is an object; {@code root} is null for the JSON text {@code null}. */
    private static Map<?, ?> object(String field, Map<?, ?> root) {
        Object value = root == null ? null : root.get(field);
        if (value instanceof Map<?, ?> object) {
            return object;
        }
        throw invalid(field, value);
    }

    private static List<String> founders(Object value) {
        boolean valid =
                value instanceof List<?> list
                        && (list.size() == 3 || list.size() == 5)
                        && list.stream().allMatch(RaftServerSettings::isMemberName)
                        && list.stream().distinct().count() == list.size();
        if (!valid) {
            throw new IllegalArgumentException(
                    "field keep.founders must be three or five names but is " + value);
        }
        return ((List<?>) value).stream().map(String::valueOf).toList();
    }

    private static boolean isMemberName(Object value) {
        return value instanceof String name && MemberProfile.isValidName(name);
    }

    private static long generation(Object value) {
        Object number = value == null ? 0 : value;
        if (number instanceof Integer generation
                && generation >= 0
                && generation < MAX_GENERATIONS) {
            return generation;
        }
        throw invalid("keep.group", number);
    }

    private static IllegalArgumentException invalid(String field, Object value) {
        return new IllegalArgumentException(
                value == null
                        ? "field " + field + " is missing"
                        : "field " + field + " is not usable: " + value);
    }
}
