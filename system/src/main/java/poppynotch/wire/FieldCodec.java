package poppynotch.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import poppynotch.register.MalformedRecordException;

/** Binary encoding of fields that several messages share: lists, servers and tenants' usage. */
final class FieldCodec {

    /** Upper limit for valid lists; a longer one indicates a corrupted record. */
    private static final int MAX_LIST_LENGTH = 200_000;

    /** Writes one item. */
    interface Writer<T> {
        void write(DataOutputStream out, T item) throws IOException;
    }

    /** Reads one item as the {@link Writer} of the same type has written it. */
    interface Reader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private FieldCodec() {}

    static <T> void writeList(DataOutputStream out, List<T> items, Writer<T> writer)
            throws IOException {
        out.writeInt(items.size());
        for (T item : items) {
            writer.write(out, item);
        }
    }

    static <T> List<T> readList(DataInputStream in, Reader<T> reader) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > MAX_LIST_LENGTH) {
            throw new MalformedRecordException(
                    "message has a list of length=" + length + ", allowed 0.." + MAX_LIST_LENGTH);
        }
        List<T> items = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            items.add(reader.read(in));
        }
        return items;
    }

    static void writeServers(DataOutputStream out, List<ServerRecord> servers) throws IOException {
        writeList(out, servers, FieldCodec::writeServer);
    }

    static List<ServerRecord> readServers(DataInputStream in) throws IOException {
        return readList(in, FieldCodec::readServer);
    }

    /**
     * Writes the versions of servers as a trailing field, which earlier software versions do not
     * read; writes nothing if no version is known.
     */
    static void writeTrailingVersions(DataOutputStream out, List<ServerRecord> servers)
            throws IOException {
        if (servers.stream().anyMatch(server -> !server.version().isEmpty())) {
            writeVersions(out, servers);
        }
    }

    /** Writes the versions of servers, in the order of the servers. */
    static void writeVersions(DataOutputStream out, List<ServerRecord> servers) throws IOException {
        writeList(out, servers, (to, server) -> to.writeUTF(server.version()));
    }

    /** The servers with the versions that {@link #writeTrailingVersions} wrote, if any. */
    static List<ServerRecord> readTrailingVersions(DataInputStream in, List<ServerRecord> servers)
            throws IOException {
        return in.available() > 0 ? readVersions(in, servers) : servers;
    }

    /** The servers with the versions that {@link #writeVersions} wrote. */
    static List<ServerRecord> readVersions(DataInputStream in, List<ServerRecord> servers)
            throws IOException {
        List<String> versions = readList(in, from -> from.readUTF());
        if (versions.size() != servers.size()) {
            throw new MalformedRecordException(
                    "versions="
                            + versions.size()
                            + ", expected one for each of servers="
                            + servers.size());
        }
        List<ServerRecord> withVersions = new ArrayList<>(servers.size());
        for (int i = 0; i < servers.size(); i++) {
            withVersions.add(servers.get(i).withVersion(versions.get(i)));
        }
        return withVersions;
    }

    private static void writeServer(DataOutputStream out, ServerRecord server) throws IOException {
        out.writeUTF(server.id());
        out.writeUTF(server.backend());
        out.writeUTF(server.address());
        out.writeUTF(server.zone());
        out.writeInt(server.slots());
        out.writeByte(server.state().ordinal());
        out.writeLong(server.sequence());
    }

    private static ServerRecord readServer(DataInputStream in) throws IOException {
        return new ServerRecord(
                in.readUTF(),
                in.readUTF(),
                in.readUTF(),
                in.readUTF(),
                in.readInt(),
                readServerState(in),
                in.readLong());
    }

    private static ServerState readServerState(DataInputStream in) throws IOException {
        int ordinal = in.readByte();
        ServerState[] states = ServerState.values();
        if (ordinal < 0 || ordinal >= states.length) {
            throw new MalformedRecordException(
                    "server record has an unknown state ordinal=" + ordinal);
        }
        return states[ordinal];
    }

    static void writeUsage(DataOutputStream out, List<TenantUsage> usage) throws IOException {
        writeList(
                out,
                usage,
                (to, tenant) -> {
                    to.writeUTF(tenant.tenant());
                    to.writeLong(tenant.amount());
                });
    }

    static List<TenantUsage> readUsage(DataInputStream in) throws IOException {
        return readList(in, from -> new TenantUsage(from.readUTF(), from.readLong()));
    }
}
