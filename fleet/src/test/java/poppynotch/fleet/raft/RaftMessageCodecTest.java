package poppynotch.fleet.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseTable;

/**
 * Guards against Raft messages that lose fields when they are encoded and decoded, and against
 * corrupted messages that fail with an undeclared exception.
 */
class RaftMessageCodecTest {

    private static RaftMessage appendEntriesRequest() {
        return RaftCodec.MODEL
                .createAppendEntriesRequestBuilder()
                .setGroupId("duties-0")
                .setSender(new RaftEndpointId("k1"))
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
                                        .build()))
                .setQuerySequenceNumber(1)
                .setFlowControlSequenceNumber(2)
                .build();
    }

    private static RaftMessage installSnapshotRequest() {
        RaftGroupMembersView view =
                RaftCodec.MODEL
                        .createRaftGroupMembersViewBuilder()
                        .setLogIndex(1)
                        .setMembers(List.of(new RaftEndpointId("k1"), new RaftEndpointId("k2/5a")))
                        .setVotingMembers(List.of(new RaftEndpointId("k1")))
                        .build();
        return RaftCodec.MODEL
                .createInstallSnapshotRequestBuilder()
                .setGroupId("duties-0")
                .setSender(new RaftEndpointId("k1"))
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
                                .setOperation(Map.of("d", new LeaseTable.Lease("m", 5, 7, 2, "")))
                                .setSnapshotChunkIndex(0)
                                .setSnapshotChunkCount(1)
                                .setGroupMembersView(view)
                                .build())
                .setSnapshottedMembers(List.of(new RaftEndpointId("k2/5a")))
                .setGroupMembersView(view)
                .setQuerySequenceNumber(0)
                .setFlowControlSequenceNumber(0)
                .build();
    }

    @Test
    void decodedMessageEqualsEncodedMessage() throws IOException {
        RaftMessageCodec.Addressed addressed =
                RaftMessageCodec.decode(RaftMessageCodec.encode("k2", appendEntriesRequest()));
        AppendEntriesRequest request = (AppendEntriesRequest) addressed.message();
        assertEquals("k2", addressed.to());
        assertEquals(new RaftEndpointId("k1"), request.getSender());
        assertEquals(
                LeaseCommand.acquire("d", "m", 5), request.getLogEntries().get(0).getOperation());
        InstallSnapshotRequest install =
                (InstallSnapshotRequest)
                        RaftMessageCodec.decode(
                                        RaftMessageCodec.encode("k2", installSnapshotRequest()))
                                .message();
        assertEquals(
                Map.of("d", new LeaseTable.Lease("m", 5, 7, 2, "")),
                install.getSnapshotChunk().getOperation());
        assertEquals(
                "k2", ((RaftEndpointId) install.getSnapshottedMembers().iterator().next()).name());
    }

    /** Any bytes are decoded to a message or rejected with one of the declared exceptions. */
    @Test
    void corruptedMessageIsRejectedWithDeclaredException() throws IOException {
        Random random = new Random(3);
        int rejected = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes =
                    RaftMessageCodec.encode(
                            "k2", i % 2 == 0 ? appendEntriesRequest() : installSnapshotRequest());
            for (int changes = 1 + random.nextInt(3); changes > 0; changes--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            try {
                RaftMessageCodec.decode(bytes);
            } catch (IOException | IllegalArgumentException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 1000);
    }
}
