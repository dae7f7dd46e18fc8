package poppynotch.lab.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import poppynotch.balancer.Contract.Guidance;
import poppynotch.balancer.Contract.Outcome;
import poppynotch.balancer.Contract.Server;
import poppynotch.balancer.Contract.Settings;
import poppynotch.balancer.Contract.State;
import poppynotch.balancer.Contract.Tenant;
import poppynotch.fleet.membership.Profile;
import poppynotch.fleet.membership.Tuning;
import poppynotch.fleet.sharing.Eyes;
import poppynotch.fleet.sharing.Sharing;
import poppynotch.fleet.wire.LoanDesk;
import poppynotch.fleet.wire.Riders;
import poppynotch.fleet.wire.SightingRider;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.virtual.Peers;
import poppynotch.lab.virtual.VirtualTime;
import poppynotch.lab.world.Sidecars.Post;

/** The product's membership and shared state between the sidecars of a virtual day. */
public final class SharedFleet implements Peers {

    private static final int SEEDS = 3;

    private final Experiment experiment;
    private final VirtualTime time;
    private final SplittableRandom random;
    private final VirtualFleet fleet;
    private final Map<Integer, Member> members = new HashMap<>();

    /** A fleet that nobody has joined, on a day's clock. */
    public SharedFleet(Experiment experiment, long seed, VirtualTime time) {
        this.experiment = experiment;
        this.time = time;
        random = new SplittableRandom(seed * 31 + 11);
        fleet =
                new VirtualFleet(
                        new FleetPlan(0, seed, 0, SEEDS, 0, List.of()),
                        Tuning.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        node -> members.get(node.number).riders,
                        time);
    }

    @Override
    public Peer join(Post post, Settings settings, BiConsumer<Double, Guidance> advice) {
        VirtualFleet.Node node =
                fleet.add(
                        SEEDS,
                        new Profile(
                                experiment.world().zones().get(post.zone()),
                                experiment.world().tiers().get(post.tier()).name(),
                                "1",
                                Profile.Phase.READY,
                                ""));
        Member member = new Member(node, settings, advice);
        members.put(node.number, member);
        node.start();
        time.after(random.nextDouble() * Sharing.EVERY_MS, member::advance);
        return member;
    }

    /** Bytes that all have sent. */
    public long bytes() {
        return fleet.bytes();
    }

    private final class Member implements Peer {
        final VirtualFleet.Node node;
        final Settings settings;
        final BiConsumer<Double, Guidance> advice;
        final Sharing sharing;
        final Riders riders;

        Member(VirtualFleet.Node node, Settings settings, BiConsumer<Double, Guidance> advice) {
            this.node = node;
            this.settings = settings;
            this.advice = advice;
            sharing = new Sharing(node.clock(), node.name, random.nextLong() >>> 1, random.split());
            riders =
                    new Riders()
                            .with("l", new LoanDesk(sharing.shares()))
                            .with("s", new SightingRider(sharing.sightings()));
            Map<String, Double> allowances = new LinkedHashMap<>();
            if (settings.tier() == 0) {
                settings.tenants()
                        .forEach(
                                tenant ->
                                        allowances.put(tenant.name(), tenant.allowancePerSecond()));
            }
            sharing.allowances(allowances, settings.balancers());
        }

        void advance() {
            if (!node.runs()) {
                return;
            }
            double now = node.clock();
            Sharing.Advice made =
                    sharing.advance(
                            now,
                            () -> node.membership.view(now),
                            question ->
                                    node.membership.ask(
                                            now,
                                            question.lender(),
                                            Riders.wrapped("l", LoanDesk.question(question))));
            node.plan();
            List<Double> rates =
                    settings.tier() > 0
                            ? List.of()
                            : settings.tenants().stream()
                                    .map(Tenant::name)
                                    .map(made.rates()::get)
                                    .toList();
            advice.accept(made.untilMs() - now, new Guidance(0, made.ailing(), Set.of(), 0, rates));
            time.after(Sharing.EVERY_MS, this::advance);
        }

        @Override
        public void listed(boolean full, List<Server> changes) {
            sharing.listed(
                    full,
                    changes.stream()
                            .collect(
                                    Collectors.toMap(
                                            Server::id,
                                            server -> server.state() == State.READY,
                                            (before, after) -> after)));
        }

        @Override
        public void called(int tenant) {
            if (tenant < settings.tenants().size()) {
                sharing.called(settings.tenants().get(tenant).name());
            }
        }

        @Override
        public void ended(String server, Outcome outcome) {
            Eyes.Fate fate =
                    switch (outcome) {
                        case OK -> Eyes.Fate.ANSWERED;
                        case FAILED -> Eyes.Fate.ERROR;
                        case CONNECT_ERROR -> Eyes.Fate.UNREACHABLE;
                        case RESET, TIMED_OUT -> Eyes.Fate.SILENT;
                        default -> null;
                    };
            if (fate != null) {
                sharing.saw(server, fate);
            }
        }

        @Override
        public void end() {
            node.end();
        }
    }
}
