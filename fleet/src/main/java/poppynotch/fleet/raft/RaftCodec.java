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
 * Encodes and decodes the elements of the Raft log as CBOR sequences, for messages and for the log
 * on disk alike. Other versions read the log, so the order of fields and the numbers of operations
 * are a stable format. Invalid bytes of any kind are rejected with an {@link IOException}.
 */
final class RaftCodec {

    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final MembershipChangeMode[] MEMBERSHIP_CHANGE_MODES =
            MembershipChangeMode.values();

    /** The type numbers of operations in the log. */
    private static final int LEASE_COMMAND = 0;

    private static final int MEMBERSHIP_CHANGE = 1;
    private static final int LEASE_SNAPSHOT = 2;

    /** The maximum length of a list; a longer one indicates corrupted input. */
    private static final int MAX_LIST_LENGTH = 10_000;

    private RaftCodec() {}

    /** Writes elements in sequence. */
    static final class ElementWriter extends CborSequence.Writer<ElementWriter> {

        ElementWriter() throws IOException {
            super();
        }

        /** Writes the id of an endpoint; null is written as an empty text. */
        ElementWriter id(RaftEndpoint endpoint) throws IOException {
            return text(endpoint == null ? "" : (String) endpoint.getId());
        }

        ElementWriter ids(Collection<RaftEndpoint> endpoints) throws IOException {
            number(endpoints.size());
            for (RaftEndpoint endpoint : endpoints) {
                id(endpoint);
            }
            return this;
        }

        ElementWriter view(RaftGroupMembersView view) throws IOException {
            return number(view.getLogIndex()).ids(view.getMembers()).ids(view.getVotingMembers());
        }

        ElementWriter entry(LogEntry entry) throws IOException {
            return number(entry.getIndex()).number(entry.getTerm()).operation(entry.getOperation());
        }

        ElementWriter chunk(SnapshotChunk chunk) throws IOException {
            return number(chunk.getIndex())
                    .number(chunk.getTerm())
                    .operation(chunk.getOperation())
                    .number(chunk.getSnapshotChunkIndex())
                    .number(chunk.getSnapshotChunkCount())
                    .view(chunk.getGroupMembersView());
        }

        /** Writes a lease command, a membership change, or the leases of a snapshot. */
        ElementWriter operation(Object operation) throws IOException {
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
            throw new IOException("cannot encode Raft operation of unknown type: " + operation);
        }

        private ElementWriter leases(Map<?, ?> leases) throws IOException {
            number(leases.size());
            for (Map.Entry<?, ?> entry : leases.entrySet()) {
                text((String) entry.getKey()).lease((LeaseTable.Lease) entry.getValue());
            }
            return this;
        }
    }

    /** Reads elements in the order in which {@link ElementWriter} wrote them. */
    static final class ElementReader extends CborSequence.Reader {

        ElementReader(byte[] bytes) throws IOException {
            super(bytes);
        }

        private int listLength() throws IOException {
            int length = nonNegativeInt();
            if (length > MAX_LIST_LENGTH) {
                throw new IOException(
                        "Raft list length is "
                                + length
                                + " but must be at most "
                                + MAX_LIST_LENGTH);
            }
            return length;
        }

        /** Reads the id of an endpoint; null if the text is empty. */
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

        /** Reads a lease command, a membership change, or the leases of a snapshot. */
        Object operation() throws IOException {
            int number = nonNegativeInt();
            return switch (number) {
                case LEASE_COMMAND -> command();
                case MEMBERSHIP_CHANGE -> membershipChange();
                case LEASE_SNAPSHOT -> leases();
                default -> throw new IOException("unknown Raft operation type number: " + number);
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
