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
 * The messages between keepers: whom they are for, which kind, from whom in which term, and the
 * rest.
 */
final class RaftMessageCodec {

    private static final RaftModelFactory MODEL = RaftCodec.MODEL;

    /** In the order of their numbers on the wire. */
    private static final List<Class<? extends RaftMessage>> KINDS =
            List.of(
                    PreVoteRequest.class,
                    PreVoteResponse.class,
                    VoteRequest.class,
                    VoteResponse.class,
                    AppendEntriesRequest.class,
                    AppendEntriesSuccessResponse.class,
                    AppendEntriesFailureResponse.class,
                    InstallSnapshotRequest.class,
                    InstallSnapshotResponse.class,
                    TriggerLeaderElectionRequest.class);

    private RaftMessageCodec() {}

    /** A message, and whom it is for: a keeper of that name whose log was lost is another one. */
    record Addressed(String to, RaftMessage message) {}

    static byte[] encode(String to, RaftMessage message) throws IOException {
        int kind = 0;
        while (!KINDS.get(kind).isInstance(message)) {
            kind++;
        }
        RaftCodec.Out out =
                new RaftCodec.Out()
                        .text(to)
                        .number(kind)
                        .text((String) message.getGroupId())
                        .id(message.getSender())
                        .number(message.getTerm());
        if (message instanceof PreVoteRequest m) {
            out.number(m.getLastLogTerm()).number(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            out.flag(m.isGranted());
        } else if (message instanceof VoteRequest m) {
            out.number(m.getLastLogTerm()).number(m.getLastLogIndex()).flag(m.isSticky());
        } else if (message instanceof VoteResponse m) {
            out.flag(m.isGranted());
        } else if (message instanceof AppendEntriesRequest m) {
            out.number(m.getPreviousLogTerm())
                    .number(m.getPreviousLogIndex())
                    .number(m.getCommitIndex())
                    .number(m.getLogEntries().size());
            for (LogEntry entry : m.getLogEntries()) {
                out.entry(entry);
            }
            out.number(m.getQuerySequenceNumber()).number(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            out.number(m.getLastLogIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            out.number(m.getExpectedNextIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            out.flag(m.isSenderLeader())
                    .number(m.getSnapshotTerm())
                    .number(m.getSnapshotIndex())
                    .number(m.getTotalSnapshotChunkCount())
                    .flag(m.getSnapshotChunk() != null);
            if (m.getSnapshotChunk() != null) {
                out.chunk(m.getSnapshotChunk());
            }
            out.ids(m.getSnapshottedMembers())
                    .view(m.getGroupMembersView())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotResponse m) {
            out.number(m.getSnapshotIndex())
                    .number(m.getRequestedSnapshotChunkIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            out.number(m.getLastLogTerm()).number(m.getLastLogIndex());
        }
        return out.bytes();
    }

    static Addressed decode(byte[] bytes) throws IOException {
        RaftCodec.In in = new RaftCodec.In(bytes);
        String to = in.text();
        int kind = in.small();
        String group = in.text();
        RaftEndpointId sender = in.id();
        int term = in.small();
        if (sender == null) {
            throw new IOException("a sender is missing");
        }
        RaftMessage message =
                switch (kind) {
                    case 0 ->
                            MODEL.createPreVoteRequestBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setLastLogTerm(in.small())
                                    .setLastLogIndex(in.number())
                                    .build();
                    case 1 ->
                            MODEL.createPreVoteResponseBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setGranted(in.flag())
                                    .build();
                    case 2 ->
                            MODEL.createVoteRequestBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setLastLogTerm(in.small())
                                    .setLastLogIndex(in.number())
                                    .setSticky(in.flag())
                                    .build();
                    case 3 ->
                            MODEL.createVoteResponseBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setGranted(in.flag())
                                    .build();
                    case 4 ->
                            MODEL.createAppendEntriesRequestBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setPreviousLogTerm(in.small())
                                    .setPreviousLogIndex(in.number())
                                    .setCommitIndex(in.number())
                                    .setLogEntries(in.entries())
                                    .setQuerySequenceNumber(in.number())
                                    .setFlowControlSequenceNumber(in.number())
                                    .build();
                    case 5 ->
                            MODEL.createAppendEntriesSuccessResponseBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setLastLogIndex(in.number())
                                    .setQuerySequenceNumber(in.number())
                                    .setFlowControlSequenceNumber(in.number())
                                    .build();
                    case 6 ->
                            MODEL.createAppendEntriesFailureResponseBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setExpectedNextIndex(in.number())
                                    .setQuerySequenceNumber(in.number())
                                    .setFlowControlSequenceNumber(in.number())
                                    .build();
                    case 7 ->
                            MODEL.createInstallSnapshotRequestBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setSenderLeader(in.flag())
                                    .setSnapshotTerm(in.small())
                                    .setSnapshotIndex(in.number())
                                    .setTotalSnapshotChunkCount(in.small())
                                    .setSnapshotChunk(in.flag() ? in.chunk() : null)
                                    .setSnapshottedMembers(in.ids())
                                    .setGroupMembersView(in.view())
                                    .setQuerySequenceNumber(in.number())
                                    .setFlowControlSequenceNumber(in.number())
                                    .build();
                    case 8 ->
                            MODEL.createInstallSnapshotResponseBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setSnapshotIndex(in.number())
                                    .setRequestedSnapshotChunkIndex(in.small())
                                    .setQuerySequenceNumber(in.number())
                                    .setFlowControlSequenceNumber(in.number())
                                    .build();
                    case 9 ->
                            MODEL.createTriggerLeaderElectionRequestBuilder()
                                    .setGroupId(group)
                                    .setSender(sender)
                                    .setTerm(term)
                                    .setLastLogTerm(in.small())
                                    .setLastLogIndex(in.number())
                                    .build();
                    default -> throw new IOException("a message that is not known");
                };
        return new Addressed(to, message);
    }
}
