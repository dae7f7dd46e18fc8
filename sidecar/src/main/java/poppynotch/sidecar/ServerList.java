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
 * A full list of endpoints, or the changed entries of one, as discovery sends it. Immutable.
 *
 * @param version the version that discovery gave it
 * @param full whether it names all endpoints, and not only those that have changed
 */
record ServerList(long version, boolean full, List<Entry> entries) {

    private static final JsonFactory JSON = new JsonFactory();

    /** An endpoint and the address where this sidecar reaches it, null for one that is gone. */
    record Entry(Server server, InetSocketAddress address) {}

    /** The names of the zones and kinds; servers refer to them by their positions. */
    record Names(List<String> zones, List<String> kinds) {}

    List<Server> servers() {
        return entries.stream().map(Entry::server).toList();
    }

    /**
     * Reads a list.
     *
     * @throws IOException if it is not JSON
     * @throws IllegalArgumentException naming the field that is missing or invalid
     */
    static ServerList parse(byte[] json, Names names) throws IOException {
        try (JsonParser in = JSON.createParser(json)) {
            in.nextToken();
            if (!(in.currentToken() != null
                    && BalancerSettingsReader.readJsonValue(in) instanceof Map<?, ?> list)) {
                throw new IOException("list of endpoints is not a JSON object");
            }
            return parse(list, names);
        }
    }

    /**
     * Reads a list that is part of a parsed file.
     *
     * @throws IllegalArgumentException naming the field that is missing or invalid
     */
    static ServerList parse(Map<?, ?> list, Names names) {
        if (!(list.get("version") instanceof Double version)) {
            throw invalidField("version", list.get("version"));
        }
        if (!(list.get("full") instanceof Boolean full)) {
            throw invalidField("full", list.get("full"));
        }
        if (!(list.get("servers") instanceof List<?> elements)) {
            throw invalidField("servers", list.get("servers"));
        }
        List<Entry> entries = new ArrayList<>();
        for (Object element : elements) {
            if (!(element instanceof Map<?, ?> fields)) {
                throw invalidField("servers[]", element);
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
        // Only the id is required of an endpoint that is gone.
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

    /**
     * Parses an address such as {@code 10.0.0.4:9000}; host names are invalid, as there is no DNS.
     */
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

    /** Returns the exception for an invalid field, or for a missing one if the value is null. */
    static IllegalArgumentException invalidField(String field, Object value) {
        return new IllegalArgumentException(
                "field " + field + (value == null ? " is missing" : " is not usable: " + value));
    }
}
