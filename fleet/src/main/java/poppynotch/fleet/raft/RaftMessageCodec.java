package poppynotch.fleet.raft;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.util.List;

/**
 * Encodes the messages between Raft replicas as CBOR sequences: the receiver's id, the type number
 * of the message, a header (group, sender, term), and the fields of the type. Other versions read
 * the messages, so the order of fields and the type numbers are a stable format. Stateless.
 */
final class RaftMessageCodec {

    private static final RaftModelFactory MODEL = RaftCodec.MODEL;

    /**
     * A message and its receiver's id. The id is included because a replica that replaces one of
     * the same name whose log was lost is a different receiver.
     */
    record Addressed(String to, RaftMessage message) {}

    /** The fields common to all messages. */
    private record Header(String groupId, RaftEndpointId sender, int term) {}

    /** Writes the fields that follow the header in messages of one type. */
    private interface FieldWriter<M extends RaftMessage> {
        void write(RaftCodec.ElementWriter out, M message) throws IOException;
    }

    /** Reads the fields that follow the header in messages of one type. */
    private interface FieldReader {
        RaftMessage read(Header header, RaftCodec.ElementReader in) throws IOException;
    }

    private record MessageType<M extends RaftMessage>(
            Class<M> type, FieldWriter<M> writer, FieldReader reader) {

        boolean matches(RaftMessage message) {
            return type.isInstance(message);
        }

        void write(RaftCodec.ElementWriter out, RaftMessage message) throws IOException {
            writer.write(out, type.cast(message));
        }
    }

    /** The message types; the index in the list is the type number on the wire. */
    private static final List<MessageType<?>> TYPES =
            List.of(
                    new MessageType<>(
                            PreVoteRequest.class,
                            RaftMessageCodec::writePreVoteRequest,
                            RaftMessageCodec::readPreVoteRequest),
                    new MessageType<>(
                            PreVoteResponse.class,
                            RaftMessageCodec::writePreVoteResponse,
                            RaftMessageCodec::readPreVoteResponse),
                    new MessageType<>(
                            VoteRequest.class,
                            RaftMessageCodec::writeVoteRequest,
                            RaftMessageCodec::readVoteRequest),
                    new MessageType<>(
                            VoteResponse.class,
                            RaftMessageCodec::writeVoteResponse,
                            RaftMessageCodec::readVoteResponse),
                    new MessageType<>(
                            AppendEntriesRequest.class,
                            RaftMessageCodec::writeAppendEntriesRequest,
                            RaftMessageCodec::readAppendEntriesRequest),
                    new MessageType<>(
                            AppendEntriesSuccessResponse.class,
                            RaftMessageCodec::writeAppendEntriesSuccessResponse,
                            RaftMessageCodec::readAppendEntriesSuccessResponse),
                    new MessageType<>(
                            AppendEntriesFailureResponse.class,
                            RaftMessageCodec::writeAppendEntriesFailureResponse,
                            RaftMessageCodec::readAppendEntriesFailureResponse),
                    new MessageType<>(
                            InstallSnapshotRequest.class,
                            RaftMessageCodec::writeInstallSnapshotRequest,
                            RaftMessageCodec::readInstallSnapshotRequest),
                    new MessageType<>(
                            InstallSnapshotResponse.class,
                            RaftMessageCodec::writeInstallSnapshotResponse,
                            RaftMessageCodec::readInstallSnapshotResponse),
                    new MessageType<>(
                            TriggerLeaderElectionRequest.class,
                            RaftMessageCodec::writeTriggerLeaderElectionRequest,
                            RaftMessageCodec::readTriggerLeaderElectionRequest));

    private RaftMessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param to the receiver's id
     * @throws IllegalArgumentException if the message is of a type without a type number
     */
    static byte[] encode(String to, RaftMessage message) throws IOException {
        int number = typeNumberOf(message);
        RaftCodec.ElementWriter out =
                new RaftCodec.ElementWriter()
                        .text(to)
                        .number(number)
                        .text((String) message.getGroupId())
                        .id(message.getSender())
                        .number(message.getTerm());
        TYPES.get(number).write(out, message);
        return out.bytes();
    }

    private static int typeNumberOf(RaftMessage message) {
        for (int number = 0; number < TYPES.size(); number++) {
            if (TYPES.get(number).matches(message)) {
                return number;
            }
        }
        throw new IllegalArgumentException(
                "cannot encode Raft message of unknown type: " + message);
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the bytes are not a message
     * @throws IllegalArgumentException if the fields of the message contradict each other
     */
    static Addressed decode(byte[] bytes) throws IOException {
        RaftCodec.ElementReader in = new RaftCodec.ElementReader(bytes);
        String to = in.text();
        int number = in.nonNegativeInt();
        Header header = new Header(in.text(), in.id(), in.nonNegativeInt());
        if (header.sender() == null) {
            throw new IOException("Raft message header has no sender");
        }
        if (number >= TYPES.size()) {
            throw new IOException("unknown Raft message type number: " + number);
        }
        return new Addressed(to, TYPES.get(number).reader().read(header, in));
    }

    private static void writePreVoteRequest(RaftCodec.ElementWriter out, PreVoteRequest message)
            throws IOException {
        out.number(message.getLastLogTerm()).number(message.getLastLogIndex());
    }

    private static RaftMessage readPreVoteRequest(Header header, RaftCodec.ElementReader in)
            throws IOException {
        return MODEL.createPreVoteRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.nonNegativeInt())
                .setLastLogIndex(in.number())
                .build();
    }

    private static void writePreVoteResponse(RaftCodec.ElementWriter out, PreVoteResponse message)
            throws IOException {
        out.flag(message.isGranted());
    }

    private static RaftMessage readPreVoteResponse(Header header, RaftCodec.ElementReader in)
            throws IOException {
        return MODEL.createPreVoteResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(in.flag())
                .build();
    }

    private static void writeVoteRequest(RaftCodec.ElementWriter out, VoteRequest message)
            throws IOException {
        out.number(message.getLastLogTerm())
                .number(message.getLastLogIndex())
                .flag(message.isSticky());
    }

    private static RaftMessage readVoteRequest(Header header, RaftCodec.ElementReader in)
            throws IOException {
        return MODEL.createVoteRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.nonNegativeInt())
                .setLastLogIndex(in.number())
                .setSticky(in.flag())
                .build();
    }

    private static void writeVoteResponse(RaftCodec.ElementWriter out, VoteResponse message)
            throws IOException {
        out.flag(message.isGranted());
    }

    private static RaftMessage readVoteResponse(Header header, RaftCodec.ElementReader in)
            throws IOException {
        return MODEL.createVoteResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setGranted(in.flag())
                .build();
    }

    private static void writeAppendEntriesRequest(
            RaftCodec.ElementWriter out, AppendEntriesRequest message) throws IOException {
        out.number(message.getPreviousLogTerm())
                .number(message.getPreviousLogIndex())
                .number(message.getCommitIndex())
                .number(message.getLogEntries().size());
        for (LogEntry entry : message.getLogEntries()) {
            out.entry(entry);
        }
        out.number(message.getQuerySequenceNumber()).number(message.getFlowControlSequenceNumber());
    }

    private static RaftMessage readAppendEntriesRequest(Header header, RaftCodec.ElementReader in)
            throws IOException {
        return MODEL.createAppendEntriesRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setPreviousLogTerm(in.nonNegativeInt())
                .setPreviousLogIndex(in.number())
                .setCommitIndex(in.number())
                .setLogEntries(in.entries())
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number())
                .build();
    }

    private static void writeAppendEntriesSuccessResponse(
            RaftCodec.ElementWriter out, AppendEntriesSuccessResponse message) throws IOException {
        out.number(message.getLastLogIndex())
                .number(message.getQuerySequenceNumber())
                .number(message.getFlowControlSequenceNumber());
    }

    private static RaftMessage readAppendEntriesSuccessResponse(
            Header header, RaftCodec.ElementReader in) throws IOException {
        return MODEL.createAppendEntriesSuccessResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogIndex(in.number())
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number())
                .build();
    }

    private static void writeAppendEntriesFailureResponse(
            RaftCodec.ElementWriter out, AppendEntriesFailureResponse message) throws IOException {
        out.number(message.getExpectedNextIndex())
                .number(message.getQuerySequenceNumber())
                .number(message.getFlowControlSequenceNumber());
    }

    private static RaftMessage readAppendEntriesFailureResponse(
            Header header, RaftCodec.ElementReader in) throws IOException {
        return MODEL.createAppendEntriesFailureResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setExpectedNextIndex(in.number())
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number())
                .build();
    }

    private static void writeInstallSnapshotRequest(
            RaftCodec.ElementWriter out, InstallSnapshotRequest message) throws IOException {
        out.flag(message.isSenderLeader())
                .number(message.getSnapshotTerm())
                .number(message.getSnapshotIndex())
                .number(message.getTotalSnapshotChunkCount())
                .flag(message.getSnapshotChunk() != null);
        if (message.getSnapshotChunk() != null) {
            out.chunk(message.getSnapshotChunk());
        }
        out.ids(message.getSnapshottedMembers())
                .view(message.getGroupMembersView())
                .number(message.getQuerySequenceNumber())
                .number(message.getFlowControlSequenceNumber());
    }

    private static RaftMessage readInstallSnapshotRequest(Header header, RaftCodec.ElementReader in)
            throws IOException {
        return MODEL.createInstallSnapshotRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setSenderLeader(in.flag())
                .setSnapshotTerm(in.nonNegativeInt())
                .setSnapshotIndex(in.number())
                .setTotalSnapshotChunkCount(in.nonNegativeInt())
                .setSnapshotChunk(in.flag() ? in.chunk() : null)
                .setSnapshottedMembers(in.ids())
                .setGroupMembersView(in.view())
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number())
                .build();
    }

    private static void writeInstallSnapshotResponse(
            RaftCodec.ElementWriter out, InstallSnapshotResponse message) throws IOException {
        out.number(message.getSnapshotIndex())
                .number(message.getRequestedSnapshotChunkIndex())
                .number(message.getQuerySequenceNumber())
                .number(message.getFlowControlSequenceNumber());
    }

    private static RaftMessage readInstallSnapshotResponse(
            Header header, RaftCodec.ElementReader in) throws IOException {
        return MODEL.createInstallSnapshotResponseBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setSnapshotIndex(in.number())
                .setRequestedSnapshotChunkIndex(in.nonNegativeInt())
                .setQuerySequenceNumber(in.number())
                .setFlowControlSequenceNumber(in.number())
                .build();
    }

    private static void writeTriggerLeaderElectionRequest(
            RaftCodec.ElementWriter out, TriggerLeaderElectionRequest message) throws IOException {
        out.number(message.getLastLogTerm()).number(message.getLastLogIndex());
    }

    private static RaftMessage readTriggerLeaderElectionRequest(
            Header header, RaftCodec.ElementReader in) throws IOException {
        return MODEL.createTriggerLeaderElectionRequestBuilder()
                .setGroupId(header.groupId())
                .setSender(header.sender())
                .setTerm(header.term())
                .setLastLogTerm(in.nonNegativeInt())
                .setLastLogIndex(in.number())
                .build();
    }
}
