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
 * Writes and reads the elements of the Raft log as CBOR sequences: the same for messages and for
 * the log on disk, where the order of fields and the numbers of operations are a format that other
 * versions read. Reading fails by an {@link IOException}, whatever the bytes are.
 */
final class RaftCodec {

    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final MembershipChangeMode[] MEMBERSHIP_CHANGE_MODES =
            MembershipChangeMode.values();

    /** The numbers of the operations in the log. */
    private static final int LEASE_COMMAND = 0;

    private static final int MEMBERSHIP_CHANGE = 1;
    private static final int LEASE_SNAPSHOT = 2;

    /** The maximum length of a list; a longer one was not written by this program. */
    private static final int MAX_LIST_LENGTH = 10_000;

    private RaftCodec() {}

    /** Writes elements, one behind the other. */
    static final class Out extends CborSequence.Writer<Out> {

        Out() throws IOException {
            super();
        }

        /** Writes an endpoint; null for none. */
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

        /** Writes a command, a change of the group, or the leases of a snapshot. */
        Out operation(Object operation) throws IOException {
            if (operation instanceof LeaseCommand command) {
                return number(LEASE_COMMAND).command(command);
            }
            if (operation instanceof UpdateRaftGroupMembersOp change) {
                return number(MEMBERSHIP_CHANGE)
                        .ids(change.getMembers())
                        .ids(change.getVotingMembers())
                        .id(change.getEndpoint())
                        .number(change.getMode().ordinal());
            }
            if (operation instanceof Map<?, ?> leases) {
                return number(LEASE_SNAPSHOT).leases(leases);
            }
            throw new IOException("unknown Raft operation: " + operation);
        }

        private Out leases(Map<?, ?> leases) throws IOException {
            number(leases.size());
            for (Map.Entry<?, ?> entry : leases.entrySet()) {
                text((String) entry.getKey()).lease((LeaseTable.Lease) entry.getValue());
            }
            return this;
        }
    }

    /** Reads elements in the order in which {@link Out} wrote them. */
    static final class In extends CborSequence.Reader {

        In(byte[] bytes) throws IOException {
            super(bytes);
        }

        private int listLength() throws IOException {
            int length = nonNegativeInt();
            if (length > MAX_LIST_LENGTH) {
                throw new IOException("list too long: " + length + ", at most " + MAX_LIST_LENGTH);
            }
            return length;
        }

        /** Reads an endpoint; null for none. */
        RaftEndpointId id() throws IOException {
            String text = text();
            return text.isEmpty() ? null : new RaftEndpointId(text);
        }

        List<RaftEndpoint> ids() throws IOException {
            List<RaftEndpoint> ids = new ArrayList<>();
            for (int remaining = listLength(); remaining > 0; remaining--) {
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
                    .setTerm(nonNegativeInt())
                    .setOperation(operation())
                    .build();
        }

        List<LogEntry> entries() throws IOException {
            List<LogEntry> entries = new ArrayList<>();
            for (int remaining = listLength(); remaining > 0; remaining--) {
                entries.add(entry());
            }
            return entries;
        }

        SnapshotChunk chunk() throws IOException {
            return MODEL.createSnapshotChunkBuilder()
                    .setIndex(number())
                    .setTerm(nonNegativeInt())
                    .setOperation(operation())
                    .setSnapshotChunkIndex(nonNegativeInt())
                    .setSnapshotChunkCount(nonNegativeInt())
                    .setGroupMembersView(view())
                    .build();
        }

        /** Reads a command, a change of the group, or the leases of a snapshot. */
        Object operation() throws IOException {
            int number = nonNegativeInt();
            return switch (number) {
                case LEASE_COMMAND -> command();
                case MEMBERSHIP_CHANGE -> membershipChange();
                case LEASE_SNAPSHOT -> leases();
                default -> throw new IOException("unknown number of a Raft operation: " + number);
            };
        }

        private UpdateRaftGroupMembersOp membershipChange() throws IOException {
            return MODEL.createUpdateRaftGroupMembersOpBuilder()
                    .setMembers(ids())
                    .setVotingMembers(ids())
                    .setEndpoint(id())
                    .setMode(enumValue(MEMBERSHIP_CHANGE_MODES))
                    .build();
        }

        private Map<String, LeaseTable.Lease> leases() throws IOException {
            Map<String, LeaseTable.Lease> leases = new LinkedHashMap<>();
            for (int remaining = listLength(); remaining > 0; remaining--) {
                leases.put(text(), lease());
            }
            return leases;
        }
    }
}
