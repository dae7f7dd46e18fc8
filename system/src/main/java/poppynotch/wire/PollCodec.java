package poppynotch.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;
import poppynotch.register.RegisterValue;
import poppynotch.register.ValueCodec;

/** Binary encoding of {@link Message.Poll} and {@link Message.PollReply}. */
final class PollCodec {

    private PollCodec() {}

    static void writePoll(DataOutputStream out, Message.Poll poll) throws IOException {
        out.writeUTF(poll.edge());
        out.writeLong(poll.incarnation());
        out.writeUTF(poll.address());
        out.writeLong(poll.pollId());
        out.writeLong(poll.revision());
        out.writeLong(poll.controlIncarnation());
        out.writeLong(poll.registryVersion());
        FieldCodec.writeUsage(out, poll.usage());
        RolloutReportCodec.writeTrailing(out, poll.rolloutReports());
    }

    static Message.Poll readPoll(DataInputStream in) throws IOException {
        return new Message.Poll(
                in.readUTF(),
                in.readLong(),
                in.readUTF(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                in.readLong(),
                FieldCodec.readUsage(in),
                RolloutReportCodec.readTrailing(in));
    }

    static void writeReply(DataOutputStream out, Message.PollReply reply) throws IOException {
        out.writeLong(reply.pollId());
        out.writeLong(reply.controlIncarnation());
        out.writeInt(reply.quorumAgeMs());
        writeOptionalValue(out, reply.value());
        out.writeBoolean(reply.fullRegistry());
        out.writeBoolean(reply.registryComplete());
        out.writeLong(reply.registryVersion());
        FieldCodec.writeServers(out, reply.servers());
        out.writeInt(reply.edgeCount());
        out.writeInt(reply.edgeIndex());
        out.writeInt(reply.reportingEdgeCount());
        FieldCodec.writeUsage(out, reply.usage());
        ValueCodec.writeStrings(out, reply.controlAddresses());
        ValueCodec.writeStrings(out, reply.edgeAddresses());
        writeTrailingVersions(out, reply);
    }

    /**
     * Writes the versions of the servers and the rollouts of the value as trailing fields, which
     * earlier software versions do not read; writes nothing if there are none.
     */
    private static void writeTrailingVersions(DataOutputStream out, Message.PollReply reply)
            throws IOException {
        byte[] rollouts = reply.value() == null ? new byte[0] : reply.value().rollouts();
        boolean hasVersions =
                reply.servers().stream().anyMatch(server -> !server.version().isEmpty());
        if (hasVersions || rollouts.length > 0) {
            FieldCodec.writeVersions(out, reply.servers());
            ValueCodec.writeBytes(out, rollouts);
        }
    }

    static Message.PollReply readReply(DataInputStream in) throws IOException {
        Message.PollReply reply =
                new Message.PollReply(
                        in.readLong(),
                        in.readLong(),
                        in.readInt(),
                        readOptionalValue(in),
                        in.readBoolean(),
                        in.readBoolean(),
                        in.readLong(),
                        FieldCodec.readServers(in),
                        in.readInt(),
                        in.readInt(),
                        in.readInt(),
                        FieldCodec.readUsage(in),
                        ValueCodec.readStrings(in),
                        ValueCodec.readStrings(in));
        return in.available() > 0 ? readTrailingVersions(in, reply) : reply;
    }

    private static Message.PollReply readTrailingVersions(
            DataInputStream in, Message.PollReply reply) throws IOException {
        List<ServerRecord> servers = FieldCodec.readVersions(in, reply.servers());
        byte[] rollouts = ValueCodec.readBytes(in);
        RegisterValue value =
                reply.value() == null ? null : reply.value().withStoredRollouts(rollouts);
        return reply.withVersions(servers, value);
    }

    private static void writeOptionalValue(DataOutputStream out, RegisterValue valueOrNull)
            throws IOException {
        out.writeBoolean(valueOrNull != null);
        if (valueOrNull != null) {
            ValueCodec.writeValue(out, valueOrNull);
        }
    }

    private static RegisterValue readOptionalValue(DataInputStream in) throws IOException {
        return in.readBoolean() ? ValueCodec.readValue(in) : null;
    }
}
