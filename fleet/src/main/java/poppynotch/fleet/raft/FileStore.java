package poppynotch.fleet.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStoreSerializer;
import io.microraft.store.sqlite.RaftSqliteStore;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Stores a replica's log in an SQLite file, whose journal recovers from writes that a crash
 * interrupted. An unreadable file is rejected, because a damaged log may have lost votes.
 *
 * <p>Used by {@link RaftServer}; the store that {@link #open} returns belongs to the Raft node,
 * which closes it when it terminates.
 */
public final class FileStore implements RaftReplica.Storage {

    private static final String FILE_NAME = "log.sqlite";

    private final Path file;

    /**
     * Creates a store in a folder, and the folder if it does not exist.
     *
     * @throws IOException if the folder cannot be created
     */
    public FileStore(Path folder) throws IOException {
        Files.createDirectories(folder);
        file = folder.resolve(FILE_NAME);
        // Otherwise jOOQ, which the SQLite store uses, prints a banner on standard output.
        System.setProperty("org.jooq.no-logo", "true");
        System.setProperty("org.jooq.no-tips", "true");
    }

    /** Whether there is a log in the folder. */
    public boolean hasLog() {
        return Files.exists(file);
    }

    /**
     * Opens the file and restores the state in it.
     *
     * @throws UncheckedIOException if it cannot be read
     */
    @Override
    public RaftReplica.OpenStore open() {
        try {
            RaftSqliteStore store =
                    RaftSqliteStore.create(file.toFile(), RaftCodec.MODEL, new StoreSerializer());
            return new RaftReplica.OpenStore(store, store.getRestoredRaftState(false).orElse(null));
        } catch (RuntimeException e) {
            throw new UncheckedIOException(
                    new IOException(
                            "the keeper's log cannot be read: "
                                    + file
                                    + ": "
                                    + String.valueOf(e.getMessage()).lines().findFirst().orElse("")
                                    + "; move the folder away and join anew (keep --join)",
                            e));
        }
    }

    /** Writes a value of one type as CBOR. */
    private interface ValueWriter<T> {
        RaftCodec.ElementWriter write(RaftCodec.ElementWriter out, T value) throws IOException;
    }

    /** Reads a value of one type from CBOR. */
    private interface ValueReader<T> {
        T read(RaftCodec.ElementReader in) throws IOException;
    }

    /** The serializer of one type, which delegates to functions of {@link RaftCodec}. */
    private record CodecSerializer<T>(ValueWriter<T> writer, ValueReader<T> reader)
            implements RaftStoreSerializer.Serializer<T> {
        @Override
        public byte[] serialize(T value) {
            try {
                return writer.write(new RaftCodec.ElementWriter(), value).bytes();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public T deserialize(byte[] bytes) {
            try {
                return reader.read(new RaftCodec.ElementReader(bytes));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** The serializers of all stored types. */
    private static final class StoreSerializer implements RaftStoreSerializer {
        @Override
        public Serializer<RaftGroupMembersView> raftGroupMembersViewSerializer() {
            return new CodecSerializer<>(
                    RaftCodec.ElementWriter::view, RaftCodec.ElementReader::view);
        }

        @Override
        public Serializer<RaftEndpoint> raftEndpointSerializer() {
            return new CodecSerializer<>(RaftCodec.ElementWriter::id, RaftCodec.ElementReader::id);
        }

        @Override
        public Serializer<LogEntry> logEntrySerializer() {
            return new CodecSerializer<>(
                    RaftCodec.ElementWriter::entry, RaftCodec.ElementReader::entry);
        }

        @Override
        public Serializer<SnapshotChunk> snapshotChunkSerializer() {
            return new CodecSerializer<>(
                    RaftCodec.ElementWriter::chunk, RaftCodec.ElementReader::chunk);
        }

        @Override
        public Serializer<RaftEndpointPersistentState> raftEndpointPersistentStateSerializer() {
            return new CodecSerializer<>(
                    (out, state) -> out.id(state.getLocalEndpoint()).flag(state.isVoting()),
                    in ->
                            RaftCodec.MODEL
                                    .createRaftEndpointPersistentStateBuilder()
                                    .setLocalEndpoint(in.id())
                                    .setVoting(in.flag())
                                    .build());
        }

        @Override
        public Serializer<RaftTermPersistentState> raftTermPersistentState() {
            return new CodecSerializer<>(
                    (out, state) -> out.number(state.getTerm()).id(state.getVotedFor()),
                    in ->
                            RaftCodec.MODEL
                                    .createRaftTermPersistentStateBuilder()
                                    .setTerm(in.nonNegativeInt())
                                    .setVotedFor(in.id())
                                    .build());
        }
    }
}
