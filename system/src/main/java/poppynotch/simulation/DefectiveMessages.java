package poppynotch.simulation;

import java.util.List;
import java.util.function.Consumer;
import poppynotch.register.Ballot;
import poppynotch.register.RegisterMessage;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Falsifies the messages that a replica sends, as its {@link SeededDefect} demands. Owned by one
 * {@link VirtualControlPlane}.
 */
final class DefectiveMessages {

    private final SeededDefect defect;
    private final Consumer<Message> forgeFromAll;

    /**
     * Creates a filter.
     *
     * @param forgeFromAll lets the sending replica receive a message from every replica
     */
    DefectiveMessages(SeededDefect defect, Consumer<Message> forgeFromAll) {
        this.defect = defect;
        this.forgeFromAll = forgeFromAll;
    }

    /** The messages to be sent in place of {@code message}: itself where no defect applies. */
    List<Message> inPlaceOf(Message message) {
        return switch (defect) {
            case VOUCH_WITHOUT_READ -> withoutAcceptedBallot(message);
            case ACKNOWLEDGED_BEFORE_QUORUM -> acceptOnBehalfOfAll(message);
            case ANNOUNCED_BEFORE_CHOSEN -> announceBeforeChosen(message);
            case TOMBSTONE_DROPPED -> withoutLeftServers(message);
            case DRAIN_HELD_BY_ONE -> acknowledgeOnBehalfOfAll(message);
            default -> List.of(message);
        };
    }

    private static List<Message> withoutAcceptedBallot(Message message) {
        return message instanceof Message.HeartbeatReply reply
                ? List.of(
                        new Message.HeartbeatReply(
                                reply.sequence(), true, Ballot.ZERO, reply.durable()))
                : List.of(message);
    }

    /** All acceptors seem to accept a proposal as soon as it is sent to one. */
    private List<Message> acceptOnBehalfOfAll(Message message) {
        if (message instanceof Message.RegisterEnvelope register
                && register.message() instanceof RegisterMessage.Accept accept) {
            forgeFromAll.accept(
                    new Message.RegisterEnvelope(new RegisterMessage.Accepted(accept.ballot())));
        }
        return List.of(message);
    }

    private static List<Message> announceBeforeChosen(Message message) {
        return message instanceof Message.RegisterEnvelope register
                        && register.message() instanceof RegisterMessage.Accept accept
                ? List.of(new Message.ValueChosen(accept.ballot(), accept.value()), message)
                : List.of(message);
    }

    private static List<Message> withoutLeftServers(Message message) {
        if (message instanceof Message.ServersChanged changed) {
            return List.of(
                    new Message.ServersChanged(
                            changed.requestId(), withoutLeftServers(changed.servers())));
        }
        if (message instanceof Message.RegistrySnapshot snapshot) {
            return List.of(
                    new Message.RegistrySnapshot(
                            snapshot.complete(), withoutLeftServers(snapshot.servers())));
        }
        return List.of(message);
    }

    private static List<ServerRecord> withoutLeftServers(List<ServerRecord> servers) {
        return servers.stream().filter(server -> server.state() != ServerState.LEFT).toList();
    }

    /** All replicas seem to acknowledge a change of the registry, which is sent to none. */
    private List<Message> acknowledgeOnBehalfOfAll(Message message) {
        if (message instanceof Message.ServersChanged changed) {
            forgeFromAll.accept(new Message.ServersAcknowledged(changed.requestId()));
            return List.of();
        }
        return List.of(message);
    }
}
