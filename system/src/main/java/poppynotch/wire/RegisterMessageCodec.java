package poppynotch.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import poppynotch.register.Ballot;
import poppynotch.register.MalformedRecordException;
import poppynotch.register.RegisterMessage;
import poppynotch.register.ValueCodec;

/** Binary encoding of the register's messages: a byte for the kind, the ballot, other fields. */
final class RegisterMessageCodec {

    private static final byte PREPARE = 1;
    private static final byte PROMISE = 2;
    private static final byte ACCEPT = 3;
    private static final byte ACCEPTED = 4;
    private static final byte REJECTED = 5;

    private RegisterMessageCodec() {}

    static void write(DataOutputStream out, RegisterMessage message) throws IOException {
        if (message instanceof RegisterMessage.Prepare prepare) {
            out.writeByte(PREPARE);
            ValueCodec.writeBallot(out, prepare.ballot());
        } else if (message instanceof RegisterMessage.Promise promise) {
            out.writeByte(PROMISE);
            ValueCodec.writeBallot(out, promise.ballot());
            ValueCodec.writeBallot(out, promise.accepted());
            ValueCodec.writeLastValue(out, promise.value());
        } else if (message instanceof RegisterMessage.Accept accept) {
            out.writeByte(ACCEPT);
            ValueCodec.writeBallot(out, accept.ballot());
            ValueCodec.writeLastValue(out, accept.value());
        } else if (message instanceof RegisterMessage.Accepted accepted) {
            out.writeByte(ACCEPTED);
            ValueCodec.writeBallot(out, accepted.ballot());
        } else if (message instanceof RegisterMessage.Rejected rejected) {
            out.writeByte(REJECTED);
            ValueCodec.writeBallot(out, rejected.ballot());
            ValueCodec.writeBallot(out, rejected.promised());
        }
    }

    static RegisterMessage read(DataInputStream in) throws IOException {
        byte kind = in.readByte();
        Ballot ballot = ValueCodec.readBallot(in);
        return switch (kind) {
            case PREPARE -> new RegisterMessage.Prepare(ballot);
            case PROMISE ->
                    new RegisterMessage.Promise(
                            ballot, ValueCodec.readBallot(in), ValueCodec.readLastValue(in));
            case ACCEPT -> new RegisterMessage.Accept(ballot, ValueCodec.readLastValue(in));
            case ACCEPTED -> new RegisterMessage.Accepted(ballot);
            case REJECTED -> new RegisterMessage.Rejected(ballot, ValueCodec.readBallot(in));
            default ->
                    throw new MalformedRecordException(
                            "record has an unknown register message kind=" + kind);
        };
    }
}
