package poppynotch.fleet.controller;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import poppynotch.fleet.host.FleetHost;
import poppynotch.fleet.host.FleetSettings;
import poppynotch.fleet.host.LineProtocolServer;
import poppynotch.fleet.host.StatusJson;
import poppynotch.fleet.lease.LeaseClient;
import poppynotch.fleet.lease.LeaseSettings;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.MembershipView;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.rollout.RolloutController;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutPlan;
import poppynotch.fleet.wire.Addresses;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.LeaseCodec;
import poppynotch.fleet.wire.RolloutStagePayload;

/**
 * A process that runs a rollout while it holds the rollout's lease, and is on standby otherwise. It
 * is a member of the fleet that serves no clients, and has an admin server for operators. Several
 * processes may be started for one rollout; the lease ensures that only one of them is active.
 *
 * <p>It owns one event loop, on which member, lease client, controller and admin server run. {@link
 * #start} and {@link #stop} are called from other threads and block; {@code stop} releases all
 * resources.
 */
public final class RolloutControllerProcess implements LeaseClient.Callbacks {

    /** Prefix of the lease's role name; the rollout's name follows. */
    private static final String ROLE_PREFIX = "release:";

    /** The tier of Raft servers, which send no calls to servers. */
    private static final String RAFT_SERVER_TIER = "keeper";

    /** The tier of rollout controllers, which send no calls to servers. */
    private static final String CONTROLLER_TIER = "conductor";

    private static final int ADVANCE_INTERVAL_MS = 100;
    private static final double POLL_INTERVAL_MS = 1000;

    /**
     * How long a new lease holder waits to receive the current stage from the fleet, before it
     * begins the rollout with the first stage.
     */
    private static final double STAGE_DISCOVERY_TIMEOUT_MS = 5000;

    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("conductor"), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) eventLoops.next();
    private final RolloutPlan plan;
    private final Consumer<String> log;
    private final RolloutParticipant participant = new RolloutParticipant();

    /** The polled members, by the sequence numbers of the requests. */
    private final Map<Long, String> polledMembers = new HashMap<>();

    private final String role;
    private final LeaseClient leaseClient;
    private FleetHost host;
    private LineProtocolServer adminServer;

    /** Null while this process is on standby. */
    private RolloutController controller;

    /** Fencing token of the lease; 0 while it is not held. */
    private long token;

    private double leaseAcquiredMs;
    private double nextPollMs;

    private RolloutControllerProcess(
            RolloutPlan plan, FleetSettings fleet, String name, long seed, Consumer<String> log) {
        this.plan = plan;
        this.log = log;
        role = ROLE_PREFIX + plan.name();
        SplittableRandom random = new SplittableRandom(seed);
        leaseClient =
                new LeaseClient(
                        LeaseSettings.DEFAULT,
                        name,
                        random.nextLong() >>> 1,
                        fleet.raftServers(),
                        random,
                        this);
    }

    /**
     * Starts a process.
     *
     * @param fleet the fleet's settings, including the Raft servers that grant the rollout's lease
     * @param name this process's member name
     * @param adminAddress where the admin server listens
     * @param log receives a log line for each decision
     * @throws IOException if an address is in use
     * @throws IllegalArgumentException if the fleet has no Raft servers
     */
    public static RolloutControllerProcess start(
            RolloutPlan plan,
            FleetSettings fleet,
            String name,
            InetSocketAddress adminAddress,
            Consumer<String> log)
            throws IOException {
        if (fleet.raftServers().isEmpty()) {
            throw new IllegalArgumentException(
                    "field fleet.keepers is missing: they say who conducts");
        }
        RolloutControllerProcess process =
                new RolloutControllerProcess(plan, fleet, name, System.nanoTime(), log);
        try {
            process.begin(fleet, name, adminAddress);
        } catch (IOException | RuntimeException e) {
            process.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw e;
        }
        return process;
    }

    private void begin(FleetSettings fleet, String name, InetSocketAddress adminAddress)
            throws IOException {
        adminServer = new LineProtocolServer(loop, adminAddress, this::handleAdminLine);
        CompositePayload payloads =
                new CompositePayload()
                        .with(RolloutStagePayload.LETTER, new StageAndReportHandler())
                        .with(LeaseCodec.LETTER, new LeaseResponseHandler());
        host =
                FleetHost.start(
                        loop,
                        PooledByteBufAllocator.DEFAULT,
                        fleet,
                        name,
                        new MemberProfile(
                                fleet.zone(),
                                CONTROLLER_TIER,
                                fleet.version(),
                                MemberProfile.Phase.READY,
                                Addresses.text(adminServer.address())),
                        System.nanoTime(),
                        payloads,
                        log);
        loop.submit(
                        () -> {
                            leaseClient.requestRole(host.now(), role, 0);
                            loop.scheduleWithFixedDelay(
                                    this::advance, 0, ADVANCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
                        })
                .syncUninterruptibly();
    }

    /** Disseminates stages, and receives the reports that this process polls. */
    private final class StageAndReportHandler extends RolloutStagePayload {
        StageAndReportHandler() {
            super(participant, 0);
        }

        @Override
        public void onAnswer(double now, String from, long sequence, ByteBuffer bytes) {
            if (controller == null || !from.equals(polledMembers.remove(sequence))) {
                return;
            }
            try {
                RolloutStagePayload.Report report = RolloutStagePayload.decodeAnswer(bytes);
                controller.onReport(now, from, zoneOf(from), report.run(), report.metrics());
            } catch (IOException e) {
                // An unreadable report is dropped; the next poll requests a new one.
                return;
            }
        }
    }

    private final class LeaseResponseHandler implements PiggybackPayload {
        @Override
        public void onAnswer(double now, String from, long sequence, ByteBuffer bytes) {
            try {
                leaseClient.onResponse(now, sequence, LeaseCodec.decodeAnswer(bytes));
            } catch (IOException e) {
                // An unreadable response is dropped; the client retries its request on time-out.
                return;
            }
        }
    }

    private String zoneOf(String member) {
        MemberUpdate update = host.member(member);
        return update == null || update.profile() == null ? "" : update.profile().zone();
    }

    /** Whether a member is ready and of a tier that sends calls to servers. */
    private static boolean isServing(MembershipView.Member member) {
        MemberProfile profile = member.update().profile();
        return member.update().state() == MemberState.ALIVE
                && profile != null
                && profile.phase() == MemberProfile.Phase.READY
                && !profile.tier().equals(RAFT_SERVER_TIER)
                && !profile.tier().equals(CONTROLLER_TIER);
    }

    private static int servingCount(MembershipView view) {
        return (int) view.members().stream().filter(RolloutControllerProcess::isServing).count();
    }

    private void advance() {
        double nowMs = host.now();
        leaseClient.advance(nowMs);
        if (leaseClient.currentToken(nowMs, role) == 0 || token == 0) {
            // Without the lease no stage is published, and stages in transit are rejected because
            // their token is lower.
            controller = null;
            return;
        }
        if (controller == null) {
            boolean stageKnown =
                    participant.currentStage(nowMs) != null
                            || nowMs >= leaseAcquiredMs + STAGE_DISCOVERY_TIMEOUT_MS;
            if (!stageKnown) {
                return;
            }
            controller = newController(nowMs);
        }
        MembershipView view = host.view();
        if (nowMs >= nextPollMs) {
            nextPollMs = nowMs + POLL_INTERVAL_MS;
            pollReports(view);
        }
        controller.advance(nowMs, servingCount(view));
    }

    private RolloutController newController(double nowMs) {
        return new RolloutController(
                nowMs,
                plan,
                token,
                participant.currentStage(nowMs),
                stage -> participant.onStage(host.now(), stage, 0),
                log);
    }

    private void pollReports(MembershipView view) {
        polledMembers.clear();
        for (MembershipView.Member member : view.members()) {
            if (isServing(member)) {
                String name = member.update().name();
                ByteBuffer request =
                        CompositePayload.encodeSingle(
                                RolloutStagePayload.LETTER, RolloutStagePayload.encodeQuestion());
                polledMembers.put(host.sendQuestion(name, request), name);
            }
        }
    }

    // ---- Admin line protocol ----

    private CompletionStage<String> handleAdminLine(String line) {
        return CompletableFuture.completedFuture(
                switch (line) {
                    case "release-halt" -> control(active -> active.halt(host.now()));
                    case "release-resume" -> control(active -> active.resume(host.now()));
                    case "release-back" ->
                            control(
                                    active -> {
                                        active.rollBack(host.now());
                                        return Optional.empty();
                                    });
                    case "release" -> "done " + StatusJson.of(status());
                    case "members" -> "done " + host.membersJson();
                    case "status" -> "done";
                    default -> "error unknown call";
                });
    }

    /** Executes an operator's command, which returns a reason if it is rejected. */
    private String control(Function<RolloutController, Optional<String>> command) {
        Optional<String> rejection =
                controller == null ? Optional.of(standby()) : command.apply(controller);
        return rejection.map(reason -> "error " + reason).orElse("done");
    }

    private String standby() {
        String holder = leaseClient.lastKnownLease(role).holder();
        return "this process waits" + (holder.isEmpty() ? "" : ": " + holder + " conducts");
    }

    private Map<String, Object> status() {
        return controller == null
                ? Map.of(
                        "release",
                        plan.name(),
                        "waits",
                        true,
                        "holder",
                        leaseClient.lastKnownLease(role).holder())
                : controller.status(host.now(), servingCount(host.view()));
    }

    // ---- Lease client ----

    @Override
    public long sendRequest(LeaseClient.Request request) {
        return host.sendQuestion(
                request.server(),
                CompositePayload.encodeSingle(
                        LeaseCodec.LETTER, LeaseCodec.encodeQuestion(request)));
    }

    @Override
    public void onAcquired(String acquiredRole, long leaseToken) {
        token = leaseToken;
        leaseAcquiredMs = host.now();
        log.accept(
                "Rollout lease acquired: "
                        + rolloutField()
                        + ", oldState=standby, newState=active, token="
                        + leaseToken);
    }

    @Override
    public void onLost(String lostRole, long leaseToken, String reason) {
        token = 0;
        log.accept(
                "Rollout lease lost: "
                        + rolloutField()
                        + ", oldState=active, newState=standby, token="
                        + leaseToken
                        + ", cause="
                        + reason);
    }

    private String rolloutField() {
        return "rollout=" + plan.name();
    }

    /** Releases the lease, so that another process can take over immediately, and shuts down. */
    public void stop() {
        loop.submit(
                        () -> {
                            leaseClient.releaseRole(host.now(), role);
                            host.leave();
                            host.close();
                        })
                .awaitUninterruptibly();
        adminServer.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
