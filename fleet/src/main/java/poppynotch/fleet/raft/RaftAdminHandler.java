package poppynotch.fleet.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.report.RaftGroupMembers;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import poppynotch.fleet.host.FleetHost;
import poppynotch.fleet.host.StatusJson;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseTable;
import poppynotch.fleet.membership.MemberProfile;

/**
 * Handles the admin line protocol of a {@link RaftServer}: status of the group and of the leases,
 * moves of leases, and membership changes of the group. Operators' tools depend on its commands,
 * response texts and JSON keys.
 *
 * <p>Owned by the server and called on its event loop.
 */
final class RaftAdminHandler {

    private final RaftReplica replica;
    private final FleetHost host;

    RaftAdminHandler(RaftReplica replica, FleetHost host) {
        this.replica = replica;
        this.host = host;
    }

    /** Executes one request line; the response begins with {@code done} or {@code error}. */
    CompletionStage<String> handle(String line) {
        String[] words = line.split("\\s+");
        String commandAndWordCount = words[0] + " " + words.length;
        return switch (commandAndWordCount) {
            case "status 1" -> completed("done");
            case "members 1" -> completed("done " + host.membersJson());
            case "duties 1" -> completed("done " + StatusJson.of(status()));
            case "duty-move 3" -> moveLease(words[1], words[2]);
            case "keeper-add 2" ->
                    changeMembership(words[1], MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
            case "keeper-remove 2" ->
                    changeMembership(words[1], MembershipChangeMode.REMOVE_MEMBER);
            default -> completed("error unknown call");
        };
    }

    private static CompletionStage<String> completed(String answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private CompletionStage<String> moveLease(String role, String member) {
        if (!replica.table().leases().containsKey(role) || !MemberProfile.isValidName(member)) {
            return completed("error there is no duty " + role);
        }
        CompletableFuture<String> answer = new CompletableFuture<>();
        replica.propose(
                LeaseCommand.move(role, member),
                outcome -> answer.complete(outcome == null ? notLeader() : "done"));
        return answer;
    }

    private String notLeader() {
        return "error this keeper does not lead"
                + (replica.leader().isEmpty()
                        ? ", nor does it know who does"
                        : "; " + replica.leader() + " does");
    }

    private CompletionStage<String> changeMembership(String id, MembershipChangeMode mode) {
        return replica.changeMembership(new RaftEndpointId(id), mode)
                .handle(
                        (members, failure) ->
                                failure == null ? changed(members) : changeFailed(failure));
    }

    private static String changed(RaftGroupMembers members) {
        return "done the keepers are "
                + members.getMembers().stream()
                        .map(member -> ((RaftEndpointId) member).id())
                        .toList();
    }

    private String changeFailed(Throwable failure) {
        return replica.isLeader() ? "error " + failure.getMessage() : notLeader();
    }

    private Map<String, Object> status() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("keeper", replica.self().id());
        status.put("leads", replica.isLeader());
        status.put("leader", replica.leader());
        status.put("term", replica.term());
        status.put("votes", replica.isVoting());
        status.put("keepers", replica.members().stream().map(RaftEndpointId::id).toList());
        status.put("restarts", replica.restartCount());
        status.put("unreadable", replica.rejectedMessageCount());
        Map<String, Object> roles = new LinkedHashMap<>();
        replica.table().leases().forEach((role, lease) -> roles.put(role, roleStatus(role, lease)));
        status.put("duties", roles);
        return status;
    }

    private Map<String, Object> roleStatus(String role, LeaseTable.Lease lease) {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("holder", lease.holder());
        status.put("token", lease.token());
        status.put("seen_ms", replica.service().lastChangeAgeMs(host.now(), role));
        status.put("wanted", lease.nextHolder());
        status.put("waiting", replica.service().waitingMembers(role));
        return status;
    }
}
