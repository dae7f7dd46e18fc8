package poppynotch.sidecar;

import io.netty.channel.EventLoop;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import poppynotch.balancer.AttemptOutcome;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.FleetAdvice;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerState;
import poppynotch.balancer.Tenant;
import poppynotch.fleet.host.FleetHost;
import poppynotch.fleet.host.StatusJson;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutStage;
import poppynotch.fleet.sharing.OutcomeRecorder;
import poppynotch.fleet.sharing.QuotaShares;
import poppynotch.fleet.sharing.SharedState;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.ObservationPayload;
import poppynotch.fleet.wire.QuotaLoanPayload;
import poppynotch.fleet.wire.RolloutStagePayload;

/**
 * Brings what this sidecar sees to the fleet, and what the fleet advises to the decisions. Only a
 * configuration whose fleet shares has this class loaded.
 */
final class FleetSharing implements OutcomeListener {

    /** The letters under which the kinds of shared state travel. */
    private static final String SIGHTINGS = "s";

    private static final String LOANS = "l";

    private final Exchange exchange;
    private final SharedState sharing;
    private final CompositePayload riders;
    private final ObservationPayload sightings;
    private final QuotaLoanPayload loans;
    private final RolloutParticipant stager = new RolloutParticipant();
    private final RolloutStagePayload stages;
    private final List<String> kinds;
    private FleetHost host;
    private BalancerSettings seen;

    FleetSharing(SidecarConfig config, Exchange exchange, CompositePayload riders) {
        this.riders = riders;
        this.exchange = exchange;
        // Another with each start, though the configuration may be the same.
        SplittableRandom random = new SplittableRandom(config.seed() + System.nanoTime());
        sharing = new SharedState(0, config.name(), random.nextLong() >>> 1, random);
        sightings = new ObservationPayload(sharing.sightings());
        loans = new QuotaLoanPayload(sharing.shares());
        kinds = config.names().kinds();
        stages = new RolloutStagePayload(stager, random.nextLong() >>> 1);
        riders.with(LOANS, loans)
                .with(RolloutStagePayload.LETTER, stages)
                .with(SIGHTINGS, sightings);
        onServerList(true, config.known().servers());
        exchange.setOutcomeListener(this);
    }

    /** Begins, on the loop; from then on it is called there alone. */
    void start(EventLoop loop, FleetHost carrier) {
        host = carrier;
        loop.scheduleWithFixedDelay(
                this::advance, 0, (long) SharedState.EVERY_MS, TimeUnit.MILLISECONDS);
    }

    private void advance() {
        BalancerSettings settings = exchange.settings();
        if (settings != seen) {
            seen = settings;
            Map<String, Double> allowances = new LinkedHashMap<>();
            if (settings.tier() == 0) {
                // Behind the first tier a call is within its tenant's share already.
                settings.tenants()
                        .forEach(
                                tenant ->
                                        allowances.put(tenant.name(), tenant.allowancePerSecond()));
            }
            sharing.allowances(allowances, settings.balancers());
        }
        double now = host.now();
        SharedState.Advice advice = sharing.advance(now, host::view, this::ask);
        List<Double> rates =
                settings.tier() > 0
                        ? List.of()
                        : settings.tenants().stream()
                                .map(tenant -> advice.rates().get(tenant.name()))
                                .toList();
        exchange.applyFleetAdvice(
                advice.untilMs() - now,
                new FleetAdvice(0, advice.ailing(), stager.staged(now), stager.part(now), rates));
    }

    private long ask(QuotaShares.Question question) {
        ByteBuffer bytes = QuotaLoanPayload.question(question);
        long sequence = host.ask(question.lender(), CompositePayload.wrapped(LOANS, bytes));
        if (sequence >= 0) {
            riders.sent(LOANS, bytes);
        }
        return sequence;
    }

    @Override
    public void onServerList(boolean full, List<Server> changes) {
        sharing.listed(
                full,
                changes.stream()
                        .collect(
                                Collectors.toMap(
                                        Server::id,
                                        server -> server.state() == ServerState.READY,
                                        (before, after) -> after)));
        stager.listed(
                full,
                changes.stream()
                        .collect(
                                Collectors.toMap(
                                        Server::id, this::kind, (before, after) -> after)));
    }

    @Override
    public void onRequest(int tenant) {
        List<Tenant> tenants = exchange.settings().tenants();
        if (tenant < tenants.size()) {
            sharing.called(tenants.get(tenant).name());
        }
    }

    @Override
    public void onAttemptFinished(String server, AttemptOutcome outcome, boolean late) {
        if (outcome != AttemptOutcome.QUEUE_FULL
                && outcome != AttemptOutcome.CANCELED
                && outcome != AttemptOutcome.IGNORED) {
            stager.ended(
                    host == null ? 0 : host.now(),
                    server,
                    outcome != AttemptOutcome.OK,
                    outcome == AttemptOutcome.OK && late);
        }
        switch (outcome) {
            case OK -> sharing.saw(server, OutcomeRecorder.CallOutcome.ANSWERED);
            case FAILED -> sharing.saw(server, OutcomeRecorder.CallOutcome.ERROR);
            case CONNECT_ERROR -> sharing.saw(server, OutcomeRecorder.CallOutcome.UNREACHABLE);
            case RESET, TIMED_OUT -> sharing.saw(server, OutcomeRecorder.CallOutcome.SILENT);
            default -> {
                // Full, called off or never sent: it says nothing of whether the server is well.
            }
        }
    }

    private String kind(Server server) {
        return server.kind() >= 0 && server.kind() < kinds.size() ? kinds.get(server.kind()) : "";
    }

    /** How many entries of its kinds of state it holds. */
    Map<String, Object> entries() {
        return Map.of("sightings", sharing.sightings().size(), "servers", sharing.servers());
    }

    /** The state for operators, as one line of JSON. */
    String status() {
        Map<String, Object> status = sharing.status(host.now());
        RolloutStage stage = stager.stage(host.now());
        if (stage != null) {
            Map<String, Object> release = new LinkedHashMap<>();
            release.put("name", stage.release());
            release.put("phase", stage.phase().name().toLowerCase(Locale.ROOT));
            release.put("part", stager.part(host.now()));
            release.put("servers", stager.staged(host.now()));
            release.put("age_ms", (long) stager.ageMs(host.now()));
            release.put("bound_ms", (long) RolloutParticipant.HOLD_MS);
            release.put("why", stage.why());
            release.put("refused", stager.refused());
            status.put("release", release);
        }
        status.put(
                "unreadable",
                riders.unreadable()
                        + sightings.unreadable()
                        + loans.unreadable()
                        + stages.unreadable());
        return StatusJson.of(status);
    }
}
