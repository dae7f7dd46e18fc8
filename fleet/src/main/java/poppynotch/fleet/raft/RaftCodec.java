package poppynotch.fleet.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseTable;
import poppynotch.fleet.wire.CborSequence;

/**
 * What the log is made of as a sequence of CBOR values, one after the other: the same for messages
 * and for what is kept on disk. Reading fails by an {@link IOException} whatever the bytes are.
 */
final class RaftCodec {

    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final MembershipChangeMode[] MODES = MembershipChangeMode.values();

    /** Operations in the log: a command, a change of the group, a ledger in a snapshot. */
    private static final int COMMAND = 0;

    private static final int GROUP = 1;
    private static final int LEDGER = 2;

    /** Longer lists than this are none of ours. */
    private static final int MOST = 10_000;

    private RaftCodec() {}

    /** Writes them. */
    static final class Out extends CborSequence.Writer<Out> {

        Out() throws IOException {
            // Nothing of its own.
        }

        /** An endpoint, or nobody. */
        Out id(RaftEndpoint endpoint) throws IOException {
            return text(endpoint == null ? "" : (String) endpoint.getId());
        }

        Out ids(Collection<RaftEndpoint> endpoints) throws IOException {
            number(endpoints.size());
            for (RaftEndpoint endpoint : endpoints) {
                id(endpoint);
            }
            return this;
        }

        Out view(RaftGroupMembersView view) throws IOException {
            return number(view.getLogIndex()).ids(view.getMembers()).ids(view.getVotingMembers());
        }

        Out entry(LogEntry entry) throws IOException {
            return number(entry.getIndex()).number(entry.getTerm()).operation(entry.getOperation());
        }

        Out chunk(SnapshotChunk chunk) throws IOException {
            return number(chunk.getIndex())
                    .number(chunk.getTerm())
                    .operation(chunk.getOperation())
                    .number(chunk.getSnapshotChunkIndex())
                    .number(chunk.getSnapshotChunkCount())
                    .view(chunk.getGroupMembersView());
        }

        Out operation(Object operation) throws IOException {
            if (operation instanceof LeaseCommand command) {
                return number(COMMAND).command(command);
            }
            if (operation instanceof UpdateRaftGroupMembersOp op) {
                return number(GROUP)
                        .ids(op.getMembers())
                        .ids(op.getVotingMembers())
                        .id(op.getEndpoint())
                        .number(op.getMode().ordinal());
            }
            if (operation instanceof Map<?, ?> duties) {
                number(LEDGER).number(duties.size());
                for (Map.Entry<?, ?> each : duties.entrySet()) {
                    text((String) each.getKey()).duty((LeaseTable.Lease) each.getValue());
                }
                return this;
            }
            throw new IOException("not an operation of this log: " + operation);
        }
    }

    /** Reads them. */
    static final class In extends CborSequence.Reader {

        In(byte[] bytes) throws IOException {
            super(bytes);
        }

        private int size() throws IOException {
            int size = small();
            if (size > MOST) {
                throw new IOException("a longer list than any: " + size);
            }
            return size;
        }

        RaftEndpointId id() throws IOException {
            String text = text();
            return text.isEmpty() ? null : new RaftEndpointId(text);
        }

        List<RaftEndpoint> ids() throws IOException {
            List<RaftEndpoint> ids = new ArrayList<>();
            for (int left = size(); left > 0; left--) {
                ids.add(id());
            }
            return ids;
        }

        RaftGroupMembersView view() throws IOException {
            return MODEL.createRaftGroupMembersViewBuilder()
                    .setLogIndex(number())
                    .setMembers(ids())
                    .setVotingMembers(ids())
                    .build();
        }

        LogEntry entry() throws IOException {
            return MODEL.createLogEntryBuilder()
                    .setIndex(number())
                    .setTerm(small())
                    .setOperation(operation())
                    .build();
        }

        List<LogEntry> entries() throws IOException {
            List<LogEntry> entries = new ArrayList<>();
            for (int left = size(); left > 0; left--) {
                entries.add(entry());
            }
            return entries;
        }

        SnapshotChunk chunk() throws IOException {
            return MODEL.createSnapshotChunkBuilder()
                    .setIndex(number())
                    .setTerm(small())
                    .setOperation(operation())
                    .setSnapshotChunkIndex(small())
                    .setSnapshotChunkCount(small())
                    .setGroupMembersView(view())
                    .build();
        }

        Object operation() throws IOException {
            switch (small()) {
                case COMMAND:
                    return command();
                case GROUP:
                    return MODEL.createUpdateRaftGroupMembersOpBuilder()
                            .setMembers(ids())
                            .setVotingMembers(ids())
                            .setEndpoint(id())
                            .setMode(one(MODES))
                            .build();
                case LEDGER:
                    Map<String, LeaseTable.Lease> duties = new LinkedHashMap<>();
                    for (int left = size(); left > 0; left--) {
                        duties.put(text(), duty());
                    }
                    return duties;
                default:
                    throw new IOException("an operation that is not known");
            }
        }
    }
}
