package poppynotch.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.RegisterMessage;
import poppynotch.register.RegisterValue;
import poppynotch.register.ValueCodec;

/** Messages as {@code DataOutputStream} records: a byte for the kind, then the members in order. */
public final class MessageCodec {

    private static final byte HELLO = 1;
    private static final byte CORE_BEAT = 2;
    private static final byte BEAT_ECHO = 3;
    private static final byte REGISTER_VOTE = 4;
    private static final byte LEARN = 5;
    private static final byte FETCH_VALUE = 6;
    private static final byte SERVERS_CHANGED = 7;
    private static final byte SERVERS_HELD = 8;
    private static final byte FETCH_REGISTRY = 9;
    private static final byte REGISTRY_SNAPSHOT = 10;
    private static final byte POLL = 11;
    private static final byte POLL_REPLY = 12;
    private static final byte PROMPT_SENT = 13;
    private static final byte ROLE_CLAIM = 14;
    private static final byte ROLE_GRANT = 15;

    private static final byte PREPARE = 1;
    private static final byte PROMISE = 2;
    private static final byte ACCEPT = 3;
    private static final byte ACCEPTED = 4;
    private static final byte REJECTED = 5;

    /** More entries than any list has: a longer one is a damaged record. */
    private static final int MOST_ENTRIES = 200_000;

    private interface Writer<T> {
        void write(DataOutputStream out, T item) throws IOException;
    }

    private interface Reader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private MessageCodec() {}

    /** One record, without its length. */
    public static byte[] encode(Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try {
            write(new DataOutputStream(bytes), message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads a record; an {@code IOException} says that it is none. */
    public static Message decode(byte[] record) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(record));
        byte kind = in.readByte();
        return switch (kind) {
            case HELLO -> new Message.Hello(in.readUTF(), in.readLong());
            case CORE_BEAT -> readBeat(in);
            case BEAT_ECHO ->
                    new Message.HeartbeatReply(
                            in.readLong(),
                            in.readBoolean(),
                            ValueCodec.readBallot(in),
                            ValueCodec.readBallot(in));
            case REGISTER_VOTE -> new Message.RegisterVote(readVote(in));
            case LEARN ->
                    new Message.ValueChosen(ValueCodec.readBallot(in), ValueCodec.readValue(in));
            case ROLE_CLAIM -> new Message.RoleClaim(in.readLong());
            case ROLE_GRANT -> new Message.RoleGrant(in.readLong());
            case FETCH_VALUE -> new Message.FetchValue();
            case SERVERS_CHANGED ->
                    new Message.ServersChanged(
                            in.readLong(), readList(in, MessageCodec::readServer));
            case SERVERS_HELD -> new Message.ServersAcknowledged(in.readLong());
            case FETCH_REGISTRY -> new Message.FetchRegistry();
            case REGISTRY_SNAPSHOT ->
                    new Message.RegistrySnapshot(
                            in.readBoolean(), readList(in, MessageCodec::readServer));
            case POLL ->
                    new Message.Poll(
                            in.readUTF(),
                            in.readLong(),
                            in.readUTF(),
                            in.readLong(),
                            in.readLong(),
                            in.readLong(),
                            in.readLong(),
                            readList(in, MessageCodec::readUsage));
            case POLL_REPLY -> readReply(in);
            case PROMPT_SENT ->
                    new Message.PromptSent(
                            in.readUTF(),
                            in.readUTF(),
                            in.readInt(),
                            readList(in, from -> new PromptPart(from.readLong(), from.readInt())));
            default -> throw new IOException("a message of kind " + kind);
        };
    }

    private static void write(DataOutputStream out, Message message) throws IOException {
        if (message instanceof Message.Hello hello) {
            out.writeByte(HELLO);
            out.writeUTF(hello.sender());
            out.writeLong(hello.incarnation());
        } else if (message instanceof Message.Heartbeat beat) {
            out.writeByte(CORE_BEAT);
            writeBeat(out, beat);
        } else if (message instanceof Message.HeartbeatReply echo) {
            out.writeByte(BEAT_ECHO);
            out.writeLong(echo.sequence());
            out.writeBoolean(echo.votes());
            ValueCodec.writeBallot(out, echo.accepted());
            ValueCodec.writeBallot(out, echo.kept());
        } else if (message instanceof Message.RegisterVote vote) {
            out.writeByte(REGISTER_VOTE);
            writeVote(out, vote.vote());
        } else if (message instanceof Message.ValueChosen learn) {
            out.writeByte(LEARN);
            ValueCodec.writeBallot(out, learn.ballot());
            ValueCodec.writeValue(out, learn.value());
        } else if (message instanceof Message.RoleClaim claim) {
            out.writeByte(ROLE_CLAIM);
            out.writeLong(claim.term());
        } else if (message instanceof Message.RoleGrant grant) {
            out.writeByte(ROLE_GRANT);
            out.writeLong(grant.term());
        } else if (message instanceof Message.FetchValue) {
            out.writeByte(FETCH_VALUE);
        } else {
            writeRegistryOrPoll(out, message);
        }
    }

    private static void writeRegistryOrPoll(DataOutputStream out, Message message)
            throws IOException {
        if (message instanceof Message.ServersChanged changed) {
            out.writeByte(SERVERS_CHANGED);
            out.writeLong(changed.request());
            writeList(out, changed.servers(), MessageCodec::writeServer);
        } else if (message instanceof Message.ServersAcknowledged held) {
            out.writeByte(SERVERS_HELD);
            out.writeLong(held.request());
        } else if (message instanceof Message.FetchRegistry) {
            out.writeByte(FETCH_REGISTRY);
        } else if (message instanceof Message.RegistrySnapshot snapshot) {
            out.writeByte(REGISTRY_SNAPSHOT);
            out.writeBoolean(snapshot.complete());
            writeList(out, snapshot.servers(), MessageCodec::writeServer);
        } else if (message instanceof Message.Poll poll) {
            out.writeByte(POLL);
            out.writeUTF(poll.edge());
            out.writeLong(poll.incarnation());
            out.writeUTF(poll.address());
            out.writeLong(poll.poll());
            out.writeLong(poll.revision());
            out.writeLong(poll.coreIncarnation());
            out.writeLong(poll.registryVersion());
            writeList(out, poll.usage(), MessageCodec::writeUsage);
        } else if (message instanceof Message.PollReply reply) {
            out.writeByte(POLL_REPLY);
            writeReply(out, reply);
        } else if (message instanceof Message.PromptSent sent) {
            out.writeByte(PROMPT_SENT);
            out.writeUTF(sent.serverId());
            out.writeUTF(sent.backend());
            out.writeInt(sent.freshTokens());
            writeList(
                    out,
                    sent.parts(),
                    (to, part) -> {
                        to.writeLong(part.id());
                        to.writeInt(part.tokens());
                    });
        }
    }

    private static void writeBeat(DataOutputStream out, Message.Heartbeat beat) throws IOException {
        out.writeLong(beat.sequence());
        out.writeBoolean(beat.leaving());
        out.writeLong(beat.revision());
        ValueCodec.writeBallot(out, beat.chosen());
        ValueCodec.writeBallot(out, beat.accepted());
        ValueCodec.writeBallot(out, beat.promised());
        ValueCodec.writeStrings(out, beat.acceptors().members());
        ValueCodec.writeStrings(out, beat.acceptors().former());
        out.writeBoolean(beat.registryComplete());
        out.writeLong(beat.registryDigest());
        ValueCodec.writeStrings(out, beat.cores());
        writeList(
                out,
                beat.heard(),
                (to, heard) -> {
                    to.writeUTF(heard.id());
                    to.writeLong(heard.sequence());
                });
        writeList(
                out,
                beat.edges(),
                (to, edge) -> {
                    to.writeUTF(edge.name());
                    to.writeLong(edge.incarnation());
                    to.writeUTF(edge.address());
                    to.writeInt(edge.ageMs());
                    writeList(to, edge.usage(), MessageCodec::writeUsage);
                });
    }

    private static Message readBeat(DataInputStream in) throws IOException {
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
                readList(in, from -> new Message.Renewal(from.readUTF(), from.readLong())),
                readList(
                        in,
                        from ->
                                new EdgeLease(
                                        from.readUTF(),
                                        from.readLong(),
                                        from.readUTF(),
                                        from.readInt(),
                                        readList(from, MessageCodec::readUsage))));
    }

    private static void writeReply(DataOutputStream out, Message.PollReply reply)
            throws IOException {
        out.writeLong(reply.poll());
        out.writeLong(reply.coreIncarnation());
        out.writeInt(reply.quorumAgeMs());
        out.writeBoolean(reply.value() != null);
        if (reply.value() != null) {
            ValueCodec.writeValue(out, reply.value());
        }
        out.writeBoolean(reply.wholeRegistry());
        out.writeBoolean(reply.registryComplete());
        out.writeLong(reply.registryVersion());
        writeList(out, reply.servers(), MessageCodec::writeServer);
        out.writeInt(reply.edges());
        out.writeInt(reply.number());
        out.writeInt(reply.reporting());
        writeList(out, reply.usage(), MessageCodec::writeUsage);
        ValueCodec.writeStrings(out, reply.cores());
        ValueCodec.writeStrings(out, reply.edgeAddresses());
    }

    private static Message readReply(DataInputStream in) throws IOException {
        long poll = in.readLong();
        long incarnation = in.readLong();
        int quorumAgeMs = in.readInt();
        RegisterValue value = in.readBoolean() ? ValueCodec.readValue(in) : null;
        return new Message.PollReply(
                poll,
                incarnation,
                quorumAgeMs,
                value,
                in.readBoolean(),
                in.readBoolean(),
                in.readLong(),
                readList(in, MessageCodec::readServer),
                in.readInt(),
                in.readInt(),
                in.readInt(),
                readList(in, MessageCodec::readUsage),
                ValueCodec.readStrings(in),
                ValueCodec.readStrings(in));
    }

    private static void writeVote(DataOutputStream out, RegisterMessage vote) throws IOException {
        if (vote instanceof RegisterMessage.Prepare prepare) {
            out.writeByte(PREPARE);
            ValueCodec.writeBallot(out, prepare.ballot());
        } else if (vote instanceof RegisterMessage.Promise promise) {
            out.writeByte(PROMISE);
            ValueCodec.writeBallot(out, promise.ballot());
            ValueCodec.writeBallot(out, promise.accepted());
            ValueCodec.writeValue(out, promise.value());
        } else if (vote instanceof RegisterMessage.Accept accept) {
            out.writeByte(ACCEPT);
            ValueCodec.writeBallot(out, accept.ballot());
            ValueCodec.writeValue(out, accept.value());
        } else if (vote instanceof RegisterMessage.Accepted accepted) {
            out.writeByte(ACCEPTED);
            ValueCodec.writeBallot(out, accepted.ballot());
        } else if (vote instanceof RegisterMessage.Rejected rejected) {
            out.writeByte(REJECTED);
            ValueCodec.writeBallot(out, rejected.ballot());
            ValueCodec.writeBallot(out, rejected.promised());
        }
    }

    private static RegisterMessage readVote(DataInputStream in) throws IOException {
        byte kind = in.readByte();
        Ballot ballot = ValueCodec.readBallot(in);
        return switch (kind) {
            case PREPARE -> new RegisterMessage.Prepare(ballot);
            case PROMISE ->
                    new RegisterMessage.Promise(
                            ballot, ValueCodec.readBallot(in), ValueCodec.readValue(in));
            case ACCEPT -> new RegisterMessage.Accept(ballot, ValueCodec.readValue(in));
            case ACCEPTED -> new RegisterMessage.Accepted(ballot);
            case REJECTED -> new RegisterMessage.Rejected(ballot, ValueCodec.readBallot(in));
            default -> throw new IOException("a vote of kind " + kind);
        };
    }

    private static void writeServer(DataOutputStream out, ServerRecord server) throws IOException {
        out.writeUTF(server.id());
        out.writeUTF(server.backend());
        out.writeUTF(server.address());
        out.writeUTF(server.zone());
        out.writeInt(server.slots());
        out.writeByte(server.state().ordinal());
        out.writeLong(server.sequence());
    }

    private static ServerRecord readServer(DataInputStream in) throws IOException {
        String id = in.readUTF();
        String backend = in.readUTF();
        String address = in.readUTF();
        String zone = in.readUTF();
        int slots = in.readInt();
        int state = in.readByte();
        if (state < 0 || state >= ServerState.values().length) {
            throw new IOException("a server in state " + state);
        }
        return new ServerRecord(
                id, backend, address, zone, slots, ServerState.values()[state], in.readLong());
    }

    private static void writeUsage(DataOutputStream out, TenantUsage usage) throws IOException {
        out.writeUTF(usage.tenant());
        out.writeLong(usage.amount());
    }

    private static TenantUsage readUsage(DataInputStream in) throws IOException {
        return new TenantUsage(in.readUTF(), in.readLong());
    }

    private static <T> void writeList(DataOutputStream out, List<T> items, Writer<T> writer)
            throws IOException {
        out.writeInt(items.size());
        for (T item : items) {
            writer.write(out, item);
        }
    }

    private static <T> List<T> readList(DataInputStream in, Reader<T> reader) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MOST_ENTRIES) {
            throw new IOException("a list of " + count);
        }
        List<T> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(reader.read(in));
        }
        return items;
    }
}
