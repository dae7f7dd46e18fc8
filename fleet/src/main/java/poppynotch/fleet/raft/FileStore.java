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
 * Stores a replica's log in an SQLite file, whose journal handles writes that are cut short by a
 * crash. A file that cannot be read is refused: a damaged log may have lost votes.
 *
 * <p>Used by {@link RaftServer}; the store that {@link #open} returns belongs to the Raft node,
 * which closes it when it terminates.
 */
public final class FileStore implements RaftReplica.Storage {

    private static final String FILE_NAME = "log.sqlite";

    private final Path file;

    /**
     * A store in a folder, which is created if it does not exist.
     *
     * @throws IOException if the folder cannot be created
     */
    public FileStore(Path folder) throws IOException {
        Files.createDirectories(folder);
        file = folder.resolve(FILE_NAME);
        // The library under it prints a banner on standard output otherwise, each time.
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

    /** Writes a value. */
    private interface ValueWriter<T> {
        RaftCodec.Out write(RaftCodec.Out out, T value) throws IOException;
    }

    /** Reads a value. */
    private interface ValueReader<T> {
        T read(RaftCodec.In in) throws IOException;
    }

    /** The serializer of one type, from its functions in {@link RaftCodec}. */
    private record CodecSerializer<T>(ValueWriter<T> writer, ValueReader<T> reader)
            implements RaftStoreSerializer.Serializer<T> {
        @Override
        public byte[] serialize(T value) {
            try {
                return writer.write(new RaftCodec.Out(), value).bytes();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public T deserialize(byte[] bytes) {
            try {
                return reader.read(new RaftCodec.In(bytes));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** The serializers of all types that are stored. */
    private static final class StoreSerializer implements RaftStoreSerializer {
        @Override
        public Serializer<RaftGroupMembersView> raftGroupMembersViewSerializer() {
            return new CodecSerializer<>(RaftCodec.Out::view, RaftCodec.In::view);
        }

        @Override
        public Serializer<RaftEndpoint> raftEndpointSerializer() {
            return new CodecSerializer<>(RaftCodec.Out::id, RaftCodec.In::id);
        }

        @Override
        public Serializer<LogEntry> logEntrySerializer() {
            return new CodecSerializer<>(RaftCodec.Out::entry, RaftCodec.In::entry);
        }

        @Override
        public Serializer<SnapshotChunk> snapshotChunkSerializer() {
            return new CodecSerializer<>(RaftCodec.Out::chunk, RaftCodec.In::chunk);
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
