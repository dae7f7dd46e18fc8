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
 * A keeper's log in a folder that outlasts its process, by SQLite, whose journal takes care of
 * writes that are cut short. What cannot be read is refused: a log that is damaged may have lost
 * votes.
 */
public final class FileStore implements RaftReplica.Disk {

    private static final String FILE = "log.sqlite";

    private final Path file;

    /**
     * A disk in a folder, which is made if it is not there.
     *
     * @throws IOException if it cannot be
     */
    public FileStore(Path folder) throws IOException {
        Files.createDirectories(folder);
        file = folder.resolve(FILE);
        // Its library greets on standard output otherwise, each time.
        System.setProperty("org.jooq.no-logo", "true");
        System.setProperty("org.jooq.no-tips", "true");
    }

    /** Whether it holds a log. */
    public boolean holdsLog() {
        return Files.exists(file);
    }

    @Override
    public RaftReplica.Kept open() {
        try {
            RaftSqliteStore store =
                    RaftSqliteStore.create(file.toFile(), RaftCodec.MODEL, new Serializers());
            return new RaftReplica.Kept(store, store.getRestoredRaftState(false).orElse(null));
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
    private interface Write<T> {
        RaftCodec.Out to(RaftCodec.Out out, T value) throws IOException;
    }

    /** Reads a value. */
    private interface Read<T> {
        T from(RaftCodec.In in) throws IOException;
    }

    private record Both<T>(Write<T> write, Read<T> read)
            implements RaftStoreSerializer.Serializer<T> {
        @Override
        public byte[] serialize(T value) {
            try {
                return write.to(new RaftCodec.Out(), value).bytes();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public T deserialize(byte[] bytes) {
            try {
                return read.from(new RaftCodec.In(bytes));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static final class Serializers implements RaftStoreSerializer {
        @Override
        public Serializer<RaftGroupMembersView> raftGroupMembersViewSerializer() {
            return new Both<>(RaftCodec.Out::view, RaftCodec.In::view);
        }

        @Override
        public Serializer<RaftEndpoint> raftEndpointSerializer() {
            return new Both<>(RaftCodec.Out::id, RaftCodec.In::id);
        }

        @Override
        public Serializer<LogEntry> logEntrySerializer() {
            return new Both<>(RaftCodec.Out::entry, RaftCodec.In::entry);
        }

        @Override
        public Serializer<SnapshotChunk> snapshotChunkSerializer() {
            return new Both<>(RaftCodec.Out::chunk, RaftCodec.In::chunk);
        }

        @Override
        public Serializer<RaftEndpointPersistentState> raftEndpointPersistentStateSerializer() {
            return new Both<>(
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
            return new Both<>(
                    (out, state) -> out.number(state.getTerm()).id(state.getVotedFor()),
                    in ->
                            RaftCodec.MODEL
                                    .createRaftTermPersistentStateBuilder()
                                    .setTerm(in.small())
                                    .setVotedFor(in.id())
                                    .build());
        }
    }
}
