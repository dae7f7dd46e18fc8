package poppynotch.control;

import poppynotch.wire.Message;

/**
 * Dispatches the messages of other control-plane replicas to the components of this replica, and
 * sends the replies.
 *
 * <p>Owned by {@link ControlPlaneNode} and called from its thread.
 */
final class PeerMessageHandler {

    private final PeerNetwork peers;
    private final RegisterReplica register;
    private final RoleElection election;
    private final RegistryReplicator servers;
    private final HeartbeatExchange heartbeats;

    PeerMessageHandler(
            PeerNetwork peers,
            RegisterReplica register,
            RoleElection election,
            RegistryReplicator servers,
            HeartbeatExchange heartbeats) {
        this.peers = peers;
        this.register = register;
        this.election = election;
        this.servers = servers;
        this.heartbeats = heartbeats;
    }

    /** Handles one message; types that replicas do not exchange are ignored. */
    void onMessage(long nowMs, String sender, Message message) {
        if (message instanceof Message.Heartbeat heartbeat) {
            heartbeats.onHeartbeat(nowMs, sender, heartbeat);
        } else if (message instanceof Message.HeartbeatReply reply) {
            heartbeats.onHeartbeatReply(nowMs, sender, reply);
        } else if (message instanceof Message.RegisterEnvelope envelope) {
            register.onRegisterMessage(nowMs, sender, envelope.message());
        } else if (message instanceof Message.ValueChosen chosen) {
            register.onValueChosen(
                    new RegisterReplica.ChosenValue(chosen.ballot(), chosen.value()), false);
        } else if (message instanceof Message.FetchValue) {
            sendChosenValue(sender);
        } else if (message instanceof Message.RoleClaim claim) {
            onRoleClaim(nowMs, sender, claim);
        } else if (message instanceof Message.RoleGrant grant) {
            election.onGrant(sender, grant.term(), register.acceptors());
        } else {
            onRegistryMessage(nowMs, sender, message);
        }
    }

    private void sendChosenValue(String to) {
        register.chosen()
                .ifPresent(
                        chosen ->
                                peers.send(
                                        to,
                                        new Message.ValueChosen(chosen.ballot(), chosen.value())));
    }

    private void onRoleClaim(long nowMs, String sender, Message.RoleClaim claim) {
        if (election.onClaim(nowMs, sender, claim.term())) {
            peers.send(sender, new Message.RoleGrant(claim.term()));
        }
    }

    private void onRegistryMessage(long nowMs, String sender, Message message) {
        if (message instanceof Message.ServersChanged changed) {
            servers.onServersChanged(nowMs, sender, changed);
        } else if (message instanceof Message.ServersAcknowledged acknowledged) {
            servers.onAcknowledged(sender, acknowledged.requestId());
        } else if (message instanceof Message.FetchRegistry) {
            peers.send(sender, servers.snapshot(nowMs));
        } else if (message instanceof Message.RegistrySnapshot snapshot) {
            servers.applySnapshot(nowMs, snapshot);
        }
    }
}
