package poppynotch.simulation;

import java.util.List;
import java.util.function.Consumer;
import poppynotch.register.Ballot;
import poppynotch.register.RegisterMessage;
import poppynotch.wire.Message;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Alters the messages that a replica sends, according to the {@link SeededDefect} of the run. Owned
 * by one {@link VirtualControlPlane}.
 */
final class DefectiveMessages {

    private final SeededDefect defect;
    private final Consumer<Message> forgeFromAll;

    /**
     * Creates a filter.
     *
     * @param forgeFromAll delivers a forged message from every replica to the sending replica
     */
    DefectiveMessages(SeededDefect defect, Consumer<Message> forgeFromAll) {
        this.defect = defect;
        this.forgeFromAll = forgeFromAll;
    }

    /** Returns the messages to send instead of {@code message}: itself if no defect applies. */
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

    /** Forges acceptances by all replicas as soon as a proposal is sent to one. */
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

    /** Forges acknowledgements by all replicas of a registry change that is sent to none. */
    private List<Message> acknowledgeOnBehalfOfAll(Message message) {
        if (message instanceof Message.ServersChanged changed) {
            forgeFromAll.accept(new Message.ServersAcknowledged(changed.requestId()));
            return List.of();
        }
        return List.of(message);
    }
}
