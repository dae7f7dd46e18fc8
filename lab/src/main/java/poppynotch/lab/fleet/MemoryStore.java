package poppynotch.lab.fleet;

import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * A Raft store in memory that simulates the disk of a Raft server: what was flushed survives the
 * end of its process, and nothing else does. Owned by a trial, which hands it to each new process.
 */
final class MemoryStore implements RaftStore {

    private RaftEndpointPersistentState endpoint;
    private RaftGroupMembersView initial;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();
    private final List<Runnable> unflushed = new ArrayList<>();

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) {
        endpoint = state;
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) {
        initial = members;
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) {
        flush();
        term = state;
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) {
        unflushed.add(() -> added.forEach(entry -> entries.put(entry.getIndex(), entry)));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        unflushed.add(
                () ->
                        chunks.computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>())
                                .put(chunk.getSnapshotChunkIndex(), chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        unflushed.add(() -> entries.tailMap(index, true).clear());
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        unflushed.add(() -> entries.headMap(index, true).clear());
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        unflushed.add(() -> chunks.remove(index));
    }

    @Override
    public void flush() {
        unflushed.forEach(Runnable::run);
        unflushed.clear();
    }

    /** Drops what was not flushed, as the end of a process does. */
    void crash() {
        unflushed.clear();
    }

    /** The state that a new process restores; null where nothing was stored. */
    RestoredRaftState restoredState() {
        if (endpoint == null || initial == null) {
            return null;
        }
        SnapshotEntry snapshot = null;
        for (TreeMap<Integer, SnapshotChunk> each : chunks.values()) {
            SnapshotChunk first = each.firstEntry().getValue();
            if (each.size() == first.getSnapshotChunkCount()) {
                snapshot =
                        new DefaultRaftModelFactory()
                                .createSnapshotEntryBuilder()
                                .setIndex(first.getIndex())
                                .setTerm(first.getTerm())
                                .setSnapshotChunks(List.copyOf(each.values()))
                                .setGroupMembersView(first.getGroupMembersView())
                                .build();
            }
        }
        long from = snapshot == null ? 0 : snapshot.getIndex();
        return new RestoredRaftState(
                endpoint,
                initial,
                term,
                snapshot,
                List.copyOf(entries.tailMap(from, false).values()));
    }
}
