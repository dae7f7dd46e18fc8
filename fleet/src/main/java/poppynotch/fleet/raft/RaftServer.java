package poppynotch.fleet.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.executor.RaftNodeExecutor;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import poppynotch.fleet.host.FleetHost;
import poppynotch.fleet.host.LineProtocolServer;
import poppynotch.fleet.host.StatusJson;
import poppynotch.fleet.lease.LeaseCommand;
import poppynotch.fleet.lease.LeaseSettings;
import poppynotch.fleet.lease.LeaseTable;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.wire.Addresses;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.LeaseCodec;

/**
 * A keeper as a process: a member of the fleet that serves nobody, keeps the log, and has a door.
 */
public final class RaftServer implements RaftNodeExecutor, RaftReplica.Links {

    private static final int ADVANCE_MS = 50;

    /** At its end a keeper has this long to hand leadership on. */
    private static final int HAND_OVER_MS = 500;

    private static final int CLOSE_MS = 1500;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("keeper"), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final CompositePayload riders = new CompositePayload();
    private final Consumer<String> log;
    private FleetHost host;
    private RaftReplica raft;
    private LineProtocolServer door;
    private String seen = "";

    private RaftServer(Consumer<String> log) {
        this.log = log;
    }

    /**
     * Starts one.
     *
     * @param how whether it founds the group, joins it anew, or goes on with the log that it has
     * @param log takes lines for operators
     * @throws IOException if the folder is not as {@code how} says, its log cannot be read, or an
     *     address is taken
     */
    public static RaftServer start(
            RaftServerSettings config, RaftServerSettings.How how, Consumer<String> log)
            throws IOException {
        FileStore disk = new FileStore(config.folder());
        if (how == RaftServerSettings.How.GO_ON && !disk.holdsLog()) {
            throw new IOException(
                    "there is no log in "
                            + config.folder()
                            + ": a keeper that has lost it must"
                            + " not vote as the same one (keep --join), unless nobody has one yet (keep --found)");
        }
        if (how != RaftServerSettings.How.GO_ON && disk.holdsLog()) {
            throw new IOException(
                    "there is a log in "
                            + config.folder()
                            + " already: start without --found"
                            + " and --join, or move it away");
        }
        long seed = new Random().nextLong();
        RaftEndpointId self =
                how == RaftServerSettings.How.JOIN
                        ? new RaftEndpointId(
                                config.name()
                                        + "/"
                                        + Integer.toHexString(new Random(seed).nextInt()))
                        : new RaftEndpointId(config.name());
        RaftServer keeper = new RaftServer(log);
        try {
            keeper.begin(config, disk, self, seed);
        } catch (IOException | RuntimeException e) {
            keeper.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw e;
        }
        return keeper;
    }

    private void begin(RaftServerSettings config, FileStore disk, RaftEndpointId self, long seed)
            throws IOException {
        door = new LineProtocolServer(loop, config.door(), this::answer);
        host =
                FleetHost.start(
                        loop,
                        PooledByteBufAllocator.DEFAULT,
                        config.fleet(),
                        config.name(),
                        new MemberProfile(
                                config.fleet().zone(),
                                "keeper",
                                config.fleet().version(),
                                MemberProfile.Phase.READY,
                                Addresses.text(door.address())),
                        seed,
                        riders,
                        log);
        List<RaftEndpointId> founders =
                config.founders().stream().map(RaftEndpointId::new).toList();
        try {
            loop.submit(
                            () -> {
                                raft =
                                        new RaftReplica(
                                                config.group(),
                                                self,
                                                founders,
                                                LeaseSettings.DEFAULT,
                                                new RaftReplica.Parts(
                                                        this,
                                                        new Random(~seed),
                                                        host::now,
                                                        this,
                                                        disk));
                                riders.with(LeaseCodec.LETTER, raft.desk())
                                        .with(RaftReplica.LETTER, raft.post());
                                loop.scheduleWithFixedDelay(
                                        this::advance, 0, ADVANCE_MS, TimeUnit.MILLISECONDS);
                            })
                    .get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof UncheckedIOException io
                    ? io.getCause()
                    : new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
        log.accept(
                "keeper: "
                        + self.id()
                        + " of the group "
                        + config.group()
                        + ", log in "
                        + config.folder());
    }

    private void advance() {
        raft.advance();
        String now =
                raft.leads()
                        ? "leads"
                        : raft.leader().isEmpty() ? "knows no leader" : "follows " + raft.leader();
        if (!now.equals(seen)) {
            seen = now;
            log.accept("keeper: " + raft.self().id() + " " + now + ", term " + raft.term());
        }
    }

    // ---- the door ----

    private CompletionStage<String> answer(String line) {
        String[] words = line.split("\\s+");
        if (raft == null) {
            return CompletableFuture.completedFuture("error this process is starting");
        }
        return switch (words[0] + " " + words.length) {
            case "status 1" -> done("");
            case "members 1" -> done(host.members());
            case "duties 1" -> done(StatusJson.of(duties()));
            case "duty-move 3" -> move(words[1], words[2]);
            case "keeper-add 2" ->
                    change(words[1], MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
            case "keeper-remove 2" -> change(words[1], MembershipChangeMode.REMOVE_MEMBER);
            default -> CompletableFuture.completedFuture("error unknown call");
        };
    }

    private static CompletionStage<String> done(String more) {
        return CompletableFuture.completedFuture(more.isEmpty() ? "done" : "done " + more);
    }

    private CompletionStage<String> move(String duty, String member) {
        if (!raft.ledger().duties().containsKey(duty) || !MemberProfile.isWord(member)) {
            return CompletableFuture.completedFuture("error there is no duty " + duty);
        }
        CompletableFuture<String> answer = new CompletableFuture<>();
        raft.propose(
                new LeaseCommand(LeaseCommand.Kind.MOVE, duty, member, 0, 0, 0),
                outcome -> answer.complete(outcome == null ? notLeading() : "done"));
        return answer;
    }

    private String notLeading() {
        return "error this keeper does not lead"
                + (raft.leader().isEmpty()
                        ? ", nor does it know who does"
                        : "; " + raft.leader() + " does");
    }

    private CompletionStage<String> change(String id, MembershipChangeMode mode) {
        return raft.change(new RaftEndpointId(id), mode)
                .handle(
                        (members, failure) ->
                                failure == null
                                        ? "done the keepers are "
                                                + members.getMembers().stream()
                                                        .map(each -> ((RaftEndpointId) each).id())
                                                        .toList()
                                        : raft.leads()
                                                ? "error " + failure.getMessage()
                                                : notLeading());
    }

    private Map<String, Object> duties() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("keeper", raft.self().id());
        status.put("leads", raft.leads());
        status.put("leader", raft.leader());
        status.put("term", raft.term());
        status.put("votes", raft.votes());
        status.put("keepers", raft.members().stream().map(RaftEndpointId::id).toList());
        status.put("restarts", raft.restarts());
        status.put("unreadable", raft.unreadable());
        Map<String, Object> all = new LinkedHashMap<>();
        for (Map.Entry<String, LeaseTable.Lease> each : raft.ledger().duties().entrySet()) {
            LeaseTable.Lease duty = each.getValue();
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("holder", duty.holder());
            one.put("token", duty.token());
            one.put("seen_ms", raft.steward().seenAgoMs(host.now(), each.getKey()));
            one.put("wanted", duty.wanted());
            one.put("waiting", raft.steward().waiting(each.getKey()));
            all.put(each.getKey(), one);
        }
        status.put("duties", all);
        return status;
    }

    // ---- what the keeper asks for ----

    @Override
    public void execute(Runnable task) {
        loop.execute(task);
    }

    @Override
    public void submit(Runnable task) {
        loop.execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        loop.schedule(task, delay, unit);
    }

    @Override
    public void send(String keeper, ByteBuffer message) {
        host.ask(keeper, CompositePayload.wrapped(RaftReplica.LETTER, message));
    }

    @Override
    public void reply(String member, long sequence, ByteBuffer answer) {
        host.tell(member, sequence, CompositePayload.wrapped(LeaseCodec.LETTER, answer));
    }

    @Override
    public boolean isPresent(String member) {
        MemberUpdate held = host.held(member);
        return held != null && held.state() == MemberState.ALIVE;
    }

    private void await(String what, long ms, Supplier<CompletableFuture<?>> begun) {
        try {
            loop.submit(begun::get).get().get(ms, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException | InterruptedException e) {
            log.accept(
                    "keeper: could not "
                            + what
                            + " in "
                            + ms
                            + " ms"
                            + (e.getMessage() == null ? "" : ": " + e.getMessage()));
        }
    }

    /** Ends in good order: hands leadership on, tells the fleet, closes the log. */
    public void stop() {
        if (raft.leads()) {
            await("hand leadership on", HAND_OVER_MS, raft::handOver);
        }
        await("close the log", CLOSE_MS, raft::end);
        loop.submit(
                        () -> {
                            host.leave();
                            host.close();
                        })
                .awaitUninterruptibly();
        door.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
