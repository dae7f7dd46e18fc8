package poppynotch.fleet.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseTable;

/**
 * Guards against changes of the format of Raft messages or of the log on disk, by which a new
 * version could not read what earlier versions wrote.
 */
class StoredLogFormatTest {

    private static final RaftEndpointId SENDER = new RaftEndpointId("k1");

    @TempDir private Path folder;

    private static RaftGroupMembersView view() {
        List<RaftEndpoint> voters = List.of(new RaftEndpointId("k1"), new RaftEndpointId("k3"));
        return RaftCodec.MODEL
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(1)
                .setMembers(
                        List.of(
                                new RaftEndpointId("k1"),
                                new RaftEndpointId("k2/5a"),
                                new RaftEndpointId("k3")))
                .setVotingMembers(voters)
                .build();
    }

    /** One message of each type, with log operations of each type. */
    static List<RaftMessage> messages() {
        return List.of(
                preVoteRequest(),
                preVoteResponse(),
                voteRequest(),
                voteResponse(),
                appendEntriesRequest(),
                appendEntriesSuccessResponse(),
                appendEntriesFailureResponse(),
                installSnapshotRequest(),
                installSnapshotResponse(),
                triggerLeaderElectionRequest());
    }

    private static RaftMessage preVoteRequest() {
        return RaftCodec.MODEL
                .createPreVoteRequestBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setLastLogTerm(2)
                .setLastLogIndex(8)
                .build();
    }

    private static RaftMessage preVoteResponse() {
        return RaftCodec.MODEL
                .createPreVoteResponseBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setGranted(true)
                .build();
    }

    private static RaftMessage voteRequest() {
        return RaftCodec.MODEL
                .createVoteRequestBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setLastLogTerm(2)
                .setLastLogIndex(8)
                .setSticky(true)
                .build();
    }

    private static RaftMessage voteResponse() {
        return RaftCodec.MODEL
                .createVoteResponseBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setGranted(true)
                .build();
    }

    private static RaftMessage appendEntriesRequest() {
        return RaftCodec.MODEL
                .createAppendEntriesRequestBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setPreviousLogTerm(2)
                .setPreviousLogIndex(8)
                .setCommitIndex(7)
                .setLogEntries(
                        List.of(
                                RaftCodec.MODEL
                                        .createLogEntryBuilder()
                                        .setIndex(9)
                                        .setTerm(3)
                                        .setOperation(LeaseCommand.acquire("d", "m", 5))
                                        .build(),
                                RaftCodec.MODEL
                                        .createLogEntryBuilder()
                                        .setIndex(10)
                                        .setTerm(3)
                                        .setOperation(
                                                RaftCodec.MODEL
                                                        .createUpdateRaftGroupMembersOpBuilder()
                                                        .setMembers(view().getMembers())
                                                        .setVotingMembers(view().getVotingMembers())
                                                        .setEndpoint(new RaftEndpointId("k3"))
                                                        .setMode(MembershipChangeMode.REMOVE_MEMBER)
                                                        .build())
                                        .build()))
                .setQuerySequenceNumber(1)
                .setFlowControlSequenceNumber(2)
                .build();
    }

    private static RaftMessage appendEntriesSuccessResponse() {
        return RaftCodec.MODEL
                .createAppendEntriesSuccessResponseBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setLastLogIndex(9)
                .setQuerySequenceNumber(1)
                .setFlowControlSequenceNumber(2)
                .build();
    }

    private static RaftMessage appendEntriesFailureResponse() {
        return RaftCodec.MODEL
                .createAppendEntriesFailureResponseBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setExpectedNextIndex(9)
                .setQuerySequenceNumber(1)
                .setFlowControlSequenceNumber(2)
                .build();
    }

    private static RaftMessage installSnapshotRequest() {
        return RaftCodec.MODEL
                .createInstallSnapshotRequestBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setSenderLeader(true)
                .setSnapshotTerm(2)
                .setSnapshotIndex(4)
                .setTotalSnapshotChunkCount(1)
                .setSnapshotChunk(
                        RaftCodec.MODEL
                                .createSnapshotChunkBuilder()
                                .setIndex(4)
                                .setTerm(2)
                                .setOperation(Map.of("d", new LeaseTable.Lease("m", 5, 7, 2, "w")))
                                .setSnapshotChunkIndex(0)
                                .setSnapshotChunkCount(1)
                                .setGroupMembersView(view())
                                .build())
                .setSnapshottedMembers(List.of(new RaftEndpointId("k2/5a")))
                .setGroupMembersView(view())
                .setQuerySequenceNumber(0)
                .setFlowControlSequenceNumber(0)
                .build();
    }

    private static RaftMessage installSnapshotResponse() {
        return RaftCodec.MODEL
                .createInstallSnapshotResponseBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setSnapshotIndex(4)
                .setRequestedSnapshotChunkIndex(1)
                .setQuerySequenceNumber(1)
                .setFlowControlSequenceNumber(2)
                .build();
    }

    private static RaftMessage triggerLeaderElectionRequest() {
        return RaftCodec.MODEL
                .createTriggerLeaderElectionRequestBuilder()
                .setGroupId("g")
                .setSender(SENDER)
                .setTerm(3)
                .setLastLogTerm(2)
                .setLastLogIndex(8)
                .build();
    }

    static List<String> messagesAsHex() throws IOException {
        List<String> encoded = new ArrayList<>();
        for (RaftMessage message : messages()) {
            encoded.add(HexFormat.of().formatHex(RaftMessageCodec.encode("k2", message)));
        }
        return encoded;
    }

    private static byte[] golden(String name) throws IOException {
        try (InputStream in = StoredLogFormatTest.class.getResourceAsStream("/golden/" + name)) {
            return in.readAllBytes();
        }
    }

    private static List<String> goldenMessages() throws IOException {
        return new String(golden("raft.hex"), StandardCharsets.US_ASCII).lines().toList();
    }

    @Test
    void writesMessagesAsEarlierVersionsDid() throws IOException {
        assertEquals(goldenMessages(), messagesAsHex());
    }

    @Test
    void readsMessagesOfEarlierVersions() throws IOException {
        List<String> reencoded = new ArrayList<>();
        for (String hex : goldenMessages()) {
            RaftMessageCodec.Addressed read = RaftMessageCodec.decode(HexFormat.of().parseHex(hex));
            assertEquals("k2", read.to());
            reencoded.add(HexFormat.of().formatHex(RaftMessageCodec.encode("k2", read.message())));
        }
        assertEquals(goldenMessages(), reencoded);
    }

    /** Writes a log like a replica; an earlier version of this method wrote the golden file. */
    static void writeLog(Path folder) throws IOException {
        io.microraft.persistence.RaftStore store = new FileStore(folder).open().store();
        store.persistAndFlushLocalEndpoint(
                RaftCodec.MODEL
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new RaftEndpointId("k2/5a"))
                        .setVoting(true)
                        .build());
        store.persistAndFlushInitialGroupMembers(view());
        store.persistAndFlushTerm(
                RaftCodec.MODEL
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(3)
                        .setVotedFor(new RaftEndpointId("k1"))
                        .build());
        store.persistLogEntries(
                List.of(
                        RaftCodec.MODEL
                                .createLogEntryBuilder()
                                .setIndex(1)
                                .setTerm(3)
                                .setOperation(LeaseCommand.acquire("d", "m", 5))
                                .build()));
        store.flush();
    }

    @Test
    void readsLogOfEarlierVersion() throws IOException {
        Files.write(folder.resolve("log.sqlite"), golden("log.sqlite"));
        FileStore store = new FileStore(folder);
        assertTrue(store.hasLog());
        RestoredRaftState state = store.open().restoredState();
        assertEquals(
                new RaftEndpointId("k2/5a"),
                state.getLocalEndpointPersistentState().getLocalEndpoint());
        assertEquals(3, state.getTermPersistentState().getTerm());
        assertEquals(new RaftEndpointId("k1"), state.getTermPersistentState().getVotedFor());
        assertEquals(
                LeaseCommand.acquire("d", "m", 5), state.getLogEntries().get(0).getOperation());
    }
}
