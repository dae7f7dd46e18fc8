package poppynotch.wire;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import poppynotch.register.MalformedRecordException;
import poppynotch.register.ValueCodec;

/**
 * Binary encoding of {@link Message}: {@code DataOutputStream} records with one byte for the kind,
 * then the fields in the order of the message's components. Stateless; may be used from any thread.
 */
public final class MessageCodec {

    /** The message kinds on the wire. A number must never be reused for another message. */
    private static final byte HELLO = 1;

    private static final byte HEARTBEAT = 2;
    private static final byte HEARTBEAT_REPLY = 3;
    private static final byte REGISTER_MESSAGE = 4;
    private static final byte VALUE_CHOSEN = 5;
    private static final byte FETCH_VALUE = 6;
    private static final byte SERVERS_CHANGED = 7;
    private static final byte SERVERS_ACKNOWLEDGED = 8;
    private static final byte FETCH_REGISTRY = 9;
    private static final byte REGISTRY_SNAPSHOT = 10;
    private static final byte POLL = 11;
    private static final byte POLL_REPLY = 12;
    private static final byte PROMPT_SENT = 13;
    private static final byte ROLE_CLAIM = 14;
    private static final byte ROLE_GRANT = 15;

    private static final int INITIAL_BUFFER_BYTES = 256;

    private MessageCodec() {}

    /** Encodes a message as one record, without a length prefix. */
    public static byte[] encode(Message message) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try {
            write(new DataOutputStream(bytes), message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes one record.
     *
     * @throws MalformedRecordException if a kind, state or length is out of range
     * @throws IOException if the record is truncated
     */
    public static Message decode(byte[] record) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(record));
        byte kind = in.readByte();
        return switch (kind) {
            case HELLO -> new Message.Hello(in.readUTF(), in.readLong());
            case HEARTBEAT -> HeartbeatCodec.readHeartbeat(in);
            case HEARTBEAT_REPLY -> HeartbeatCodec.readReply(in);
            case REGISTER_MESSAGE -> new Message.RegisterEnvelope(RegisterMessageCodec.read(in));
            case VALUE_CHOSEN ->
                    new Message.ValueChosen(
                            ValueCodec.readBallot(in), ValueCodec.readLastValue(in));
            case FETCH_VALUE -> new Message.FetchValue();
            case SERVERS_CHANGED ->
                    new Message.ServersChanged(in.readLong(), readServersWithVersions(in));
            case SERVERS_ACKNOWLEDGED -> new Message.ServersAcknowledged(in.readLong());
            case FETCH_REGISTRY -> new Message.FetchRegistry();
            case REGISTRY_SNAPSHOT ->
                    new Message.RegistrySnapshot(in.readBoolean(), readServersWithVersions(in));
            case POLL -> PollCodec.readPoll(in);
            case POLL_REPLY -> PollCodec.readReply(in);
            case PROMPT_SENT -> readPromptSent(in);
            case ROLE_CLAIM -> new Message.RoleClaim(in.readLong());
            case ROLE_GRANT -> new Message.RoleGrant(in.readLong());
            default ->
                    throw new MalformedRecordException(
                            "record has an unknown message kind=" + kind);
        };
    }

    private static void write(DataOutputStream out, Message message) throws IOException {
        if (message instanceof Message.Hello hello) {
            out.writeByte(HELLO);
            out.writeUTF(hello.sender());
            out.writeLong(hello.incarnation());
        } else if (message instanceof Message.Heartbeat heartbeat) {
            out.writeByte(HEARTBEAT);
            HeartbeatCodec.writeHeartbeat(out, heartbeat);
        } else if (message instanceof Message.HeartbeatReply reply) {
            out.writeByte(HEARTBEAT_REPLY);
            HeartbeatCodec.writeReply(out, reply);
        } else if (message instanceof Message.RoleClaim claim) {
            out.writeByte(ROLE_CLAIM);
            out.writeLong(claim.term());
        } else if (message instanceof Message.RoleGrant grant) {
            out.writeByte(ROLE_GRANT);
            out.writeLong(grant.term());
        } else if (message instanceof Message.Poll poll) {
            out.writeByte(POLL);
            PollCodec.writePoll(out, poll);
        } else if (message instanceof Message.PollReply reply) {
            out.writeByte(POLL_REPLY);
            PollCodec.writeReply(out, reply);
        } else if (message instanceof Message.PromptSent sent) {
            out.writeByte(PROMPT_SENT);
            writePromptSent(out, sent);
        } else {
            writeReplication(out, message);
        }
    }

    /** Writes the messages that replicate the register value and the registry. */
    private static void writeReplication(DataOutputStream out, Message message) throws IOException {
        if (message instanceof Message.RegisterEnvelope register) {
            out.writeByte(REGISTER_MESSAGE);
            RegisterMessageCodec.write(out, register.message());
        } else if (message instanceof Message.ValueChosen chosen) {
            out.writeByte(VALUE_CHOSEN);
            ValueCodec.writeBallot(out, chosen.ballot());
            ValueCodec.writeLastValue(out, chosen.value());
        } else if (message instanceof Message.FetchValue) {
            out.writeByte(FETCH_VALUE);
        } else if (message instanceof Message.ServersChanged changed) {
            out.writeByte(SERVERS_CHANGED);
            out.writeLong(changed.requestId());
            writeServersWithVersions(out, changed.servers());
        } else if (message instanceof Message.ServersAcknowledged acknowledged) {
            out.writeByte(SERVERS_ACKNOWLEDGED);
            out.writeLong(acknowledged.requestId());
        } else if (message instanceof Message.FetchRegistry) {
            out.writeByte(FETCH_REGISTRY);
        } else if (message instanceof Message.RegistrySnapshot snapshot) {
            out.writeByte(REGISTRY_SNAPSHOT);
            out.writeBoolean(snapshot.complete());
            writeServersWithVersions(out, snapshot.servers());
        } else {
            throw new IllegalArgumentException(
                    "message type has no binary encoding: " + message.getClass());
        }
    }

    /** Writes servers with their versions; must be the last field of a message. */
    private static void writeServersWithVersions(DataOutputStream out, List<ServerRecord> servers)
            throws IOException {
        FieldCodec.writeServers(out, servers);
        FieldCodec.writeTrailingVersions(out, servers);
    }

    private static List<ServerRecord> readServersWithVersions(DataInputStream in)
            throws IOException {
        return FieldCodec.readTrailingVersions(in, FieldCodec.readServers(in));
    }

    private static void writePromptSent(DataOutputStream out, Message.PromptSent sent)
            throws IOException {
        out.writeUTF(sent.serverId());
        out.writeUTF(sent.backend());
        out.writeInt(sent.freshTokens());
        FieldCodec.writeList(
                out,
                sent.segments(),
                (to, part) -> {
                    to.writeLong(part.id());
                    to.writeInt(part.tokens());
                });
    }

    private static Message.PromptSent readPromptSent(DataInputStream in) throws IOException {
        return new Message.PromptSent(
                in.readUTF(),
                in.readUTF(),
                in.readInt(),
                FieldCodec.readList(
                        in, from -> new PromptSegment(from.readLong(), from.readInt())));
    }
}
