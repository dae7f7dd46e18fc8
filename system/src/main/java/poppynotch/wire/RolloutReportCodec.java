package poppynotch.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;

/**
 * Binary encoding of rollout reports as the trailing field of a message, which earlier software
 * versions do not read. An empty list is not written, so that the message is encoded as by those
 * versions.
 */
final class RolloutReportCodec {

    private RolloutReportCodec() {}

    static void writeTrailing(DataOutputStream out, List<RolloutReport> reports)
            throws IOException {
        if (!reports.isEmpty()) {
            FieldCodec.writeList(out, reports, RolloutReportCodec::writeReport);
        }
    }

    static List<RolloutReport> readTrailing(DataInputStream in) throws IOException {
        return in.available() > 0
                ? FieldCodec.readList(in, RolloutReportCodec::readReport)
                : List.of();
    }

    private static void writeReport(DataOutputStream out, RolloutReport report) throws IOException {
        out.writeLong(report.edgeIncarnation());
        out.writeLong(report.sequence());
        out.writeUTF(report.backend());
        out.writeLong(report.rolloutId());
        out.writeLong(report.appliedRevision());
        out.writeInt(report.servingInFlight());
        FieldCodec.writeList(out, report.counts(), RolloutReportCodec::writeCount);
    }

    private static RolloutReport readReport(DataInputStream in) throws IOException {
        return new RolloutReport(
                in.readLong(),
                in.readLong(),
                in.readUTF(),
                in.readLong(),
                in.readLong(),
                in.readInt(),
                FieldCodec.readList(in, RolloutReportCodec::readCount));
    }

    private static void writeCount(DataOutputStream out, OutcomeCount count) throws IOException {
        out.writeUTF(count.route());
        out.writeByte(count.serverGroup());
        out.writeInt(count.ended());
        out.writeInt(count.failed());
        out.writeInt(count.slow());
    }

    private static OutcomeCount readCount(DataInputStream in) throws IOException {
        return new OutcomeCount(
                in.readUTF(), in.readByte(), in.readInt(), in.readInt(), in.readInt());
    }
}
