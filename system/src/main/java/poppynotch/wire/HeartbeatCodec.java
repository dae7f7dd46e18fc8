package poppynotch.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import poppynotch.register.AcceptorSet;
import poppynotch.register.ValueCodec;

/** Binary encoding of {@link Message.Heartbeat} and {@link Message.HeartbeatReply}. */
final class HeartbeatCodec {

    private HeartbeatCodec() {}

    static void writeHeartbeat(DataOutputStream out, Message.Heartbeat heartbeat)
            throws IOException {
        out.writeLong(heartbeat.sequence());
        out.writeBoolean(heartbeat.leaving());
        out.writeLong(heartbeat.revision());
        ValueCodec.writeBallot(out, heartbeat.chosen());
        ValueCodec.writeBallot(out, heartbeat.accepted());
        ValueCodec.writeBallot(out, heartbeat.promised());
        ValueCodec.writeStrings(out, heartbeat.acceptors().members());
        ValueCodec.writeStrings(out, heartbeat.acceptors().former());
        out.writeBoolean(heartbeat.registryComplete());
        out.writeLong(heartbeat.registryDigest());
        ValueCodec.writeStrings(out, heartbeat.controlAddresses());
        FieldCodec.writeList(out, heartbeat.renewals(), HeartbeatCodec::writeRenewal);
        FieldCodec.writeList(out, heartbeat.edgeLeases(), HeartbeatCodec::writeEdgeLease);
        RolloutReportCodec.writeTrailing(out, heartbeat.rolloutReports());
    }

    static Message.Heartbeat readHeartbeat(DataInputStream in) throws IOException {
        return new Message.Heartbeat(
                in.readLong(),
                in.readBoolean(),
                in.readLong(),
                ValueCodec.readBallot(in),
                ValueCodec.readBallot(in),
                ValueCodec.readBallot(in),
                new AcceptorSet(ValueCodec.readStrings(in), ValueCodec.readStrings(in)),
                in.readBoolean(),
                in.readLong(),
                ValueCodec.readStrings(in),
                FieldCodec.readList(in, HeartbeatCodec::readRenewal),
                FieldCodec.readList(in, HeartbeatCodec::readEdgeLease),
                RolloutReportCodec.readTrailing(in));
    }

    private static void writeRenewal(DataOutputStream out, Message.Renewal renewal)
            throws IOException {
        out.writeUTF(renewal.id());
        out.writeLong(renewal.sequence());
    }

    private static Message.Renewal readRenewal(DataInputStream in) throws IOException {
        return new Message.Renewal(in.readUTF(), in.readLong());
    }

    private static void writeEdgeLease(DataOutputStream out, EdgeLease lease) throws IOException {
        out.writeUTF(lease.name());
        out.writeLong(lease.incarnation());
        out.writeUTF(lease.address());
        out.writeInt(lease.ageMs());
        FieldCodec.writeUsage(out, lease.usage());
    }

    private static EdgeLease readEdgeLease(DataInputStream in) throws IOException {
        return new EdgeLease(
                in.readUTF(), in.readLong(), in.readUTF(), in.readInt(), FieldCodec.readUsage(in));
    }

    static void writeReply(DataOutputStream out, Message.HeartbeatReply reply) throws IOException {
        out.writeLong(reply.sequence());
        out.writeBoolean(reply.mayVote());
        ValueCodec.writeBallot(out, reply.accepted());
        ValueCodec.writeBallot(out, reply.durable());
    }

    static Message.HeartbeatReply readReply(DataInputStream in) throws IOException {
        return new Message.HeartbeatReply(
                in.readLong(),
                in.readBoolean(),
                ValueCodec.readBallot(in),
                ValueCodec.readBallot(in));
    }
}
