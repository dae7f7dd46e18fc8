package poppynotch.fleet.raft;

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
 * A keeper's configuration.
 *
 * @param name in the fleet, the same after a restart
 * @param door where operators connect
 * @param fleet as a sidecar's section of that name
 * @param folder for the log; must outlast the process and the machine's restarts
 * @param founders the names of the keepers that found the group; three or five
 * @param group grows by one each time that the group is founded anew, as its log was lost
 */
public record RaftServerSettings(
        String name,
        InetSocketAddress door,
        FleetSettings fleet,
        Path folder,
        List<String> founders,
        long group) {

    /** How a keeper starts. */
    public enum How {
        /** With the log that it has. */
        GO_ON,
        /** As one of the first, when nobody has a log yet. */
        FOUND,
        /** As a new one, which the group has still to take in. */
        JOIN
    }

    /** The most groups there can be, one after the other. */
    private static final long MOST_GROUPS = 1 << 20;

    /**
     * Reads a file.
     *
     * @throws IOException if it cannot be read
     * @throws IllegalArgumentException naming the field that is missing or bad
     */
    public static RaftServerSettings read(Path file) throws IOException {
        Map<?, ?> all;
        try {
            all = new ObjectMapper().readValue(Files.readAllBytes(file), Map.class);
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("there is no file " + file, e);
        } catch (com.fasterxml.jackson.core.JacksonException e) {
            throw new IllegalArgumentException(
                    file + " is not a JSON object: " + e.getOriginalMessage(), e);
        }
        if (all == null || !(all.get("keep") instanceof Map<?, ?> keep)) {
            throw bad("keep", all == null ? null : all.get("keep"));
        }
        if (!(all.get("name") instanceof String name) || !MemberProfile.isWord(name)) {
            throw bad("name", all.get("name"));
        }
        if (!(all.get("management") instanceof String door) || !Addresses.isAddress(door)) {
            throw bad("management", all.get("management"));
        }
        if (!(all.get("fleet") instanceof Map<?, ?> fleet)) {
            throw bad("fleet", all.get("fleet"));
        }
        if (!(keep.get("folder") instanceof String folder) || folder.isEmpty()) {
            throw bad("keep.folder", keep.get("folder"));
        }
        Object founders = keep.get("founders");
        boolean usable =
                founders instanceof List<?> list
                        && (list.size() == 3 || list.size() == 5)
                        && list.stream()
                                .allMatch(
                                        each ->
                                                each instanceof String text
                                                        && MemberProfile.isWord(text))
                        && list.stream().distinct().count() == list.size();
        if (!usable) {
            throw new IllegalArgumentException(
                    "field keep.founders must be three or five names but is " + founders);
        }
        Object group = keep.get("group") == null ? 0 : keep.get("group");
        if (!(group instanceof Integer number) || number < 0 || number >= MOST_GROUPS) {
            throw bad("keep.group", group);
        }
        return new RaftServerSettings(
                name,
                Addresses.of(door),
                FleetSettings.of(fleet),
                Path.of(folder),
                ((List<?>) founders).stream().map(String::valueOf).toList(),
                number);
    }

    private static IllegalArgumentException bad(String field, Object value) {
        return new IllegalArgumentException(
                value == null
                        ? "field " + field + " is missing"
                        : "field " + field + " is not usable: " + value);
    }
}
