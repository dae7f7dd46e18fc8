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
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
 * A process that conducts a release while it has the duty to, and else waits for it: a member of
 * the fleet that serves nobody. Several may be started for one release; the keepers let one of them
 * act.
 */
public final class RolloutControllerProcess implements LeaseClient.Port {

    /** The duty's name, before the release's. */
    static final String DUTY = "release:";

    private static final int ADVANCE_MS = 100;
    private static final double POLL_MS = 1000;

    /**
     * Whoever gets the duty waits so long for what the fleet holds of the release, before it
     * begins.
     */
    private static final double LISTEN_MS = 5000;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("conductor"), NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final RolloutPlan plan;
    private final Consumer<String> log;
    private final RolloutParticipant stager = new RolloutParticipant();
    private final Map<Long, String> polled = new HashMap<>();
    private final String duty;
    private final LeaseClient client;
    private FleetHost host;
    private LineProtocolServer door;
    private RolloutController conductor;
    private long token;
    private double takenMs;
    private double pollMs;
    private long unreadable;

    private RolloutControllerProcess(
            RolloutPlan plan, FleetSettings fleet, String name, long seed, Consumer<String> log) {
        this.plan = plan;
        this.log = log;
        duty = DUTY + plan.name();
        SplittableRandom random = new SplittableRandom(seed);
        client =
                new LeaseClient(
                        LeaseSettings.DEFAULT,
                        name,
                        random.nextLong() >>> 1,
                        fleet.keepers(),
                        random,
                        this);
    }

    /**
     * Starts one.
     *
     * @param fleet with the keepers, who say which conductor acts
     * @param name of this process in the fleet
     * @param address where operators connect
     * @param log takes a line for each decision
     * @throws IOException if an address is taken
     * @throws IllegalArgumentException if the fleet has no keepers
     */
    public static RolloutControllerProcess start(
            RolloutPlan plan,
            FleetSettings fleet,
            String name,
            InetSocketAddress address,
            Consumer<String> log)
            throws IOException {
        if (fleet.keepers().isEmpty()) {
            throw new IllegalArgumentException(
                    "field fleet.keepers is missing: they say who conducts");
        }
        RolloutControllerProcess host =
                new RolloutControllerProcess(plan, fleet, name, System.nanoTime(), log);
        try {
            host.begin(fleet, name, address);
        } catch (IOException | RuntimeException e) {
            host.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw e;
        }
        return host;
    }

    private void begin(FleetSettings fleet, String name, InetSocketAddress address)
            throws IOException {
        door = new LineProtocolServer(loop, address, this::answer);
        CompositePayload riders =
                new CompositePayload()
                        .with(RolloutStagePayload.LETTER, new Reports())
                        .with(LeaseCodec.LETTER, new Answers());
        host =
                FleetHost.start(
                        loop,
                        PooledByteBufAllocator.DEFAULT,
                        fleet,
                        name,
                        new MemberProfile(
                                fleet.zone(),
                                "conductor",
                                fleet.version(),
                                MemberProfile.Phase.READY,
                                Addresses.text(door.address())),
                        System.nanoTime(),
                        riders,
                        log);
        loop.submit(
                        () -> {
                            client.want(host.now(), duty, 0);
                            loop.scheduleWithFixedDelay(
                                    this::advance, 0, ADVANCE_MS, TimeUnit.MILLISECONDS);
                        })
                .syncUninterruptibly();
    }

    /** Stages that ride on answers, and the reports that are asked for. */
    private final class Reports extends RolloutStagePayload {
        Reports() {
            super(stager, 0);
        }

        @Override
        public void told(double now, String from, long sequence, ByteBuffer answer) {
            if (conductor == null || !from.equals(polled.remove(sequence))) {
                return;
            }
            try {
                RolloutStagePayload.Report report = RolloutStagePayload.report(answer);
                conductor.report(now, from, zoneOf(from), report.run(), report.tally());
            } catch (IOException e) {
                unreadable++;
            }
        }
    }

    private final class Answers implements PiggybackPayload {
        @Override
        public void told(double now, String from, long sequence, ByteBuffer answer) {
            try {
                client.told(now, sequence, LeaseCodec.answer(answer));
            } catch (IOException e) {
                unreadable++;
            }
        }
    }

    private String zoneOf(String member) {
        MemberUpdate held = host.held(member);
        return held == null || held.profile() == null ? "" : held.profile().zone();
    }

    /** Processes that serve clients or tiers; keepers and conductors call no servers. */
    private static boolean serves(MembershipView.Member member) {
        MemberProfile profile = member.held().profile();
        return member.held().state() == MemberState.ALIVE
                && profile != null
                && profile.phase() == MemberProfile.Phase.READY
                && !profile.tier().equals("keeper")
                && !profile.tier().equals("conductor");
    }

    private void advance() {
        double now = host.now();
        client.advance(now);
        if (client.token(now, duty) == 0 || token == 0) {
            // Not this one, or not any more: nothing is told, and what is under way is refused by
            // its token.
            conductor = null;
            return;
        }
        if (conductor == null) {
            boolean heard = stager.stage(now) != null || now >= takenMs + LISTEN_MS;
            if (!heard) {
                return;
            }
            conductor =
                    new RolloutController(
                            now,
                            plan,
                            token,
                            stager.stage(now),
                            stage -> stager.hear(host.now(), stage, 0),
                            log);
        }
        MembershipView view = host.view();
        if (now >= pollMs) {
            pollMs = now + POLL_MS;
            polled.clear();
            view.members().stream()
                    .filter(RolloutControllerProcess::serves)
                    .forEach(
                            member ->
                                    polled.put(
                                            host.ask(
                                                    member.held().name(),
                                                    CompositePayload.wrapped(
                                                            RolloutStagePayload.LETTER,
                                                            RolloutStagePayload.question())),
                                            member.held().name()));
        }
        conductor.advance(
                now,
                (int) view.members().stream().filter(RolloutControllerProcess::serves).count());
    }

    private CompletionStage<String> answer(String line) {
        double now = host == null ? 0 : host.now();
        String refused =
                switch (line) {
                    case "release-halt" -> conductor == null ? waits() : conductor.halt(now);
                    case "release-resume" -> conductor == null ? waits() : conductor.resume(now);
                    case "release-back" -> conductor == null ? waits() : conductor.back(now);
                    case "release", "members", "status" -> null;
                    default -> "unknown call";
                };
        String more =
                switch (line) {
                    case "release" ->
                            conductor == null
                                    ? StatusJson.of(
                                            Map.of(
                                                    "release",
                                                    plan.name(),
                                                    "waits",
                                                    true,
                                                    "holder",
                                                    client.seen(duty).holder()))
                                    : StatusJson.of(
                                            conductor.status(
                                                    now,
                                                    (int)
                                                            host.view().members().stream()
                                                                    .filter(
                                                                            RolloutControllerProcess
                                                                                    ::serves)
                                                                    .count()));
                    case "members" -> host.members();
                    default -> "";
                };
        return CompletableFuture.completedFuture(
                refused != null ? "error " + refused : more.isEmpty() ? "done" : "done " + more);
    }

    private String waits() {
        String holder = client.seen(duty).holder();
        return "this process waits" + (holder.isEmpty() ? "" : ": " + holder + " conducts");
    }

    @Override
    public long ask(LeaseClient.Question question) {
        return host.ask(
                question.keeper(),
                CompositePayload.wrapped(LeaseCodec.LETTER, LeaseCodec.question(question)));
    }

    @Override
    public void taken(String taken, long under) {
        token = under;
        takenMs = host.now();
        log.accept("release " + plan.name() + ": this process conducts, token " + under);
    }

    @Override
    public void ended(String ended, long under, String why) {
        token = 0;
        log.accept("release " + plan.name() + ": this process no longer conducts: " + why);
    }

    /** Ends: the duty goes back, so that another may conduct at once. */
    public void stop() {
        loop.submit(
                        () -> {
                            client.unwant(host.now(), duty);
                            host.leave();
                            host.close();
                        })
                .awaitUninterruptibly();
        door.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
