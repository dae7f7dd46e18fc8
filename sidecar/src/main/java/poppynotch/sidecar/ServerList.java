package poppynotch.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import poppynotch.balancer.BalancerSettingsReader;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerState;

/**
 * A list of endpoints, or changes to one, as discovery sends it; immutable.
 *
 * @param version by discovery's count
 * @param full whether it names all endpoints, else it is a change
 */
record ServerList(long version, boolean full, List<Entry> entries) {

    private static final JsonFactory JSON = new JsonFactory();

    /** An endpoint and where it listens, as this sidecar reaches it; null for one that is gone. */
    record Entry(Server server, InetSocketAddress address) {}

    /** The names of the zones and kinds, whose positions in the settings stand for them. */
    record Names(List<String> zones, List<String> kinds) {}

    List<Server> servers() {
        return entries.stream().map(Entry::server).toList();
    }

    /**
     * Reads a list.
     *
     * @throws IOException if it is not JSON
     * @throws IllegalArgumentException naming the field that is missing or bad
     */
    static ServerList parse(byte[] json, Names names) throws IOException {
        try (JsonParser in = JSON.createParser(json)) {
            in.nextToken();
            if (!(in.currentToken() != null
                    && BalancerSettingsReader.readJsonValue(in) instanceof Map<?, ?> list)) {
                throw new IOException("the list of endpoints is no object");
            }
            return parse(list, names);
        }
    }

    /**
     * Reads a list that is part of a parsed file.
     *
     * @throws IllegalArgumentException naming the field that is missing or bad
     */
    static ServerList parse(Map<?, ?> list, Names names) {
        if (!(list.get("version") instanceof Double version)) {
            throw invalidField("version", list.get("version"));
        }
        if (!(list.get("full") instanceof Boolean full)) {
            throw invalidField("full", list.get("full"));
        }
        if (!(list.get("servers") instanceof List<?> lines)) {
            throw invalidField("servers", list.get("servers"));
        }
        List<Entry> entries = new ArrayList<>();
        for (Object line : lines) {
            if (!(line instanceof Map<?, ?> fields)) {
                throw invalidField("servers[]", line);
            }
            entries.add(entry(fields, names));
        }
        return new ServerList(version.longValue(), full, entries);
    }

    private static Entry entry(Map<?, ?> fields, Names names) {
        if (!(fields.get("id") instanceof String id)) {
            throw invalidField("servers[].id", fields.get("id"));
        }
        ServerState state =
                switch (String.valueOf(fields.get("state"))) {
                    case "in_service" -> ServerState.READY;
                    case "terminating" -> ServerState.DRAINING;
                    case "terminated" -> ServerState.GONE;
                    default -> throw invalidField("servers[].state", fields.get("state"));
                };
        // Of an endpoint that is gone nothing but its id need be there.
        InetSocketAddress address =
                state == ServerState.GONE ? null : address("servers[].addr", fields.get("addr"));
        return new Entry(
                new Server(
                        id,
                        names.zones().indexOf(fields.get("zone")),
                        names.kinds().indexOf(fields.get("kind")),
                        (int) number(fields, "cell", 0),
                        number(fields, "started_ms", 0),
                        state,
                        number(fields, "weight", 1)),
                address);
    }

    private static double number(Map<?, ?> fields, String name, double absent) {
        Object value = fields.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw invalidField("servers[]." + name, value);
    }

    /** Reads {@code 10.0.0.4:9000}; names would need DNS, of which there is none. */
    static InetSocketAddress address(String field, Object value) {
        if (value instanceof String text) {
            int colon = text.lastIndexOf(':');
            byte[] ip =
                    colon < 0
                            ? null
                            : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
            if (ip != null) {
                try {
                    int port = Integer.parseInt(text.substring(colon + 1));
                    return new InetSocketAddress(InetAddress.getByAddress(ip), port);
                } catch (UnknownHostException | IllegalArgumentException e) {
                    throw invalidField(field, value);
                }
            }
        }
        throw invalidField(field, value);
    }

    /** What is thrown for a field that is missing, where the value is null, or bad. */
    static IllegalArgumentException invalidField(String field, Object value) {
        return new IllegalArgumentException(
                "field " + field + (value == null ? " is missing" : " is not usable: " + value));
    }
}
