package poppynotch.lab.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.FleetAdvice;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerState;
import poppynotch.balancer.Tenant;
import poppynotch.fleet.membership.MemberProfile;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.sharing.OutcomeRecorder;
import poppynotch.fleet.sharing.SharedState;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.ObservationPayload;
import poppynotch.fleet.wire.QuotaLoanPayload;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.virtual.Peers;
import poppynotch.lab.virtual.VirtualClock;
import poppynotch.lab.world.Sidecars.Placement;

/** The product's membership and shared state between the sidecars of a virtual day. */
public final class SharedFleet implements Peers {

    private static final int SEEDS = 3;

    private final Experiment experiment;
    private final VirtualClock time;
    private final SplittableRandom random;
    private final VirtualFleet fleet;
    private final Map<Integer, Member> members = new HashMap<>();

    /** A fleet that nobody has joined, on a day's clock. */
    public SharedFleet(Experiment experiment, long seed, VirtualClock time) {
        this.experiment = experiment;
        this.time = time;
        random = new SplittableRandom(seed * 31 + 11);
        fleet =
                new VirtualFleet(
                        new FleetPlan(0, seed, 0, SEEDS, 0, List.of()),
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        node -> members.get(node.number).riders,
                        time);
    }

    @Override
    public Peer join(
            Placement post, BalancerSettings settings, BiConsumer<Double, FleetAdvice> advice) {
        VirtualFleet.Node node =
                fleet.addNode(
                        SEEDS,
                        new MemberProfile(
                                experiment.world().zones().get(post.zone()),
                                experiment.world().tiers().get(post.tier()).name(),
                                "1",
                                MemberProfile.Phase.READY,
                                ""));
        Member member = new Member(node, settings, advice);
        members.put(node.number, member);
        node.start();
        time.schedule(random.nextDouble() * SharedState.ADVICE_INTERVAL_MS, member::advance);
        return member;
    }

    /** Bytes that all have sent. */
    public long bytesSent() {
        return fleet.bytesSent();
    }

    private final class Member implements Peer {
        final VirtualFleet.Node node;
        final BalancerSettings settings;
        final BiConsumer<Double, FleetAdvice> advice;
        final SharedState sharing;
        final CompositePayload riders;

        Member(
                VirtualFleet.Node node,
                BalancerSettings settings,
                BiConsumer<Double, FleetAdvice> advice) {
            this.node = node;
            this.settings = settings;
            this.advice = advice;
            sharing =
                    new SharedState(
                            node.localTimeMs(), node.name, random.nextLong() >>> 1, random.split());
            riders =
                    new CompositePayload()
                            .with("l", new QuotaLoanPayload(sharing.shares()))
                            .with("s", new ObservationPayload(sharing.observations()));
            Map<String, Double> allowances = new LinkedHashMap<>();
            if (settings.tier() == 0) {
                settings.tenants()
                        .forEach(
                                tenant ->
                                        allowances.put(tenant.name(), tenant.allowancePerSecond()));
            }
            sharing.setQuotas(allowances, settings.balancers());
        }

        void advance() {
            if (!node.isRunning()) {
                return;
            }
            double now = node.localTimeMs();
            SharedState.Advice made =
                    sharing.advance(
                            now,
                            () -> node.membership.view(now),
                            question ->
                                    node.membership.sendQuestion(
                                            now,
                                            question.lender(),
                                            CompositePayload.encodeSingle(
                                                    "l",
                                                    QuotaLoanPayload.encodeQuestion(question))));
            node.scheduleTimer();
            List<Double> rates =
                    settings.tier() > 0
                            ? List.of()
                            : settings.tenants().stream()
                                    .map(Tenant::name)
                                    .map(made.rates()::get)
                                    .toList();
            advice.accept(
                    made.validUntilMs() - now,
                    new FleetAdvice(0, made.unhealthy(), Set.of(), 0, rates));
            time.schedule(SharedState.ADVICE_INTERVAL_MS, this::advance);
        }

        @Override
        public void onServerList(boolean full, List<Server> changes) {
            sharing.onServerList(
                    full,
                    changes.stream()
                            .collect(
                                    Collectors.toMap(
                                            Server::id,
                                            server -> server.state() == ServerState.READY,
                                            (before, after) -> after)));
        }

        @Override
        public void onCall(int tenant) {
            if (tenant < settings.tenants().size()) {
                sharing.onCall(settings.tenants().get(tenant).name());
            }
        }

        @Override
        public void onAttemptEnded(String server, AttemptOutcome outcome) {
            OutcomeRecorder.CallOutcome fate =
                    switch (outcome) {
                        case OK -> OutcomeRecorder.CallOutcome.ANSWERED;
                        case FAILED -> OutcomeRecorder.CallOutcome.ERROR;
                        case CONNECT_ERROR -> OutcomeRecorder.CallOutcome.UNREACHABLE;
                        case RESET, TIMED_OUT -> OutcomeRecorder.CallOutcome.TIMED_OUT;
                        default -> null;
                    };
            if (fate != null) {
                sharing.onCallEnded(server, fate);
            }
        }

        @Override
        public void onProcessKilled() {
            node.stop();
        }
    }
}
