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
 * Reports what this sidecar observes to the state that its fleet shares, and hands the fleet's
 * advice to the balancer. This class is loaded only if the configured fleet shares state.
 *
 * <p>It is owned by {@link FleetMember} and called on the sidecar's event loop only. It holds no
 * buffers: messages are on the heap.
 */
final class FleetSharing implements OutcomeListener {

    /** The letters that identify the kinds of shared state in messages. */
    private static final String OBSERVATIONS_LETTER = "s";

    private static final String LOANS_LETTER = "l";

    private final Exchange exchange;
    private final SharedState sharing;
    private final CompositePayload payloads;
    private final ObservationPayload observations;
    private final QuotaLoanPayload loans;
    private final RolloutParticipant rollout = new RolloutParticipant();
    private final RolloutStagePayload rolloutStages;
    private final List<String> kindNames;
    private FleetHost host;
    private BalancerSettings appliedSettings;

    FleetSharing(SidecarConfig config, Exchange exchange, CompositePayload payloads) {
        this.payloads = payloads;
        this.exchange = exchange;
        // Seeded differently at each start, even with the same configuration.
        SplittableRandom random = new SplittableRandom(config.seed() + System.nanoTime());
        sharing = new SharedState(0, config.name(), random.nextLong() >>> 1, random);
        observations = new ObservationPayload(sharing.observations());
        loans = new QuotaLoanPayload(sharing.shares());
        kindNames = config.names().kinds();
        rolloutStages = new RolloutStagePayload(rollout, random.nextLong() >>> 1);
        payloads.with(LOANS_LETTER, loans)
                .with(RolloutStagePayload.LETTER, rolloutStages)
                .with(OBSERVATIONS_LETTER, observations);
        onServerList(true, config.knownEndpoints().servers());
        exchange.setOutcomeListener(this);
    }

    /** Starts to exchange state with the fleet. */
    void start(EventLoop loop, FleetHost joined) {
        host = joined;
        loop.scheduleWithFixedDelay(
                this::advance, 0, (long) SharedState.ADVICE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void advance() {
        BalancerSettings settings = exchange.settings();
        if (settings != appliedSettings) {
            appliedSettings = settings;
            Map<String, Double> quotas = new LinkedHashMap<>();
            if (settings.tier() == 0) {
                // Calls that reach later tiers are within their tenants' quotas already.
                settings.tenants()
                        .forEach(tenant -> quotas.put(tenant.name(), tenant.allowancePerSecond()));
            }
            sharing.setQuotas(quotas, settings.balancers());
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
                advice.validUntilMs() - now,
                new FleetAdvice(
                        0,
                        advice.unhealthy(),
                        rollout.canaryServers(now),
                        rollout.canaryFraction(now),
                        rates));
    }

    private long ask(QuotaShares.LoanRequest question) {
        ByteBuffer bytes = QuotaLoanPayload.encodeQuestion(question);
        long sequence =
                host.sendQuestion(
                        question.lender(), CompositePayload.encodeSingle(LOANS_LETTER, bytes));
        if (sequence >= 0) {
            payloads.recordSent(LOANS_LETTER, bytes);
        }
        return sequence;
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
        rollout.onServersListed(
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
            sharing.onCall(tenants.get(tenant).name());
        }
    }

    @Override
    public void onAttemptFinished(String server, AttemptOutcome outcome, boolean late) {
        if (outcome != AttemptOutcome.QUEUE_FULL
                && outcome != AttemptOutcome.CANCELED
                && outcome != AttemptOutcome.IGNORED) {
            rollout.onCallEnded(
                    host == null ? 0 : host.now(),
                    server,
                    outcome != AttemptOutcome.OK,
                    outcome == AttemptOutcome.OK && late);
        }
        switch (outcome) {
            case OK -> sharing.onCallEnded(server, OutcomeRecorder.CallOutcome.ANSWERED);
            case FAILED -> sharing.onCallEnded(server, OutcomeRecorder.CallOutcome.ERROR);
            case CONNECT_ERROR ->
                    sharing.onCallEnded(server, OutcomeRecorder.CallOutcome.UNREACHABLE);
            case RESET, TIMED_OUT ->
                    sharing.onCallEnded(server, OutcomeRecorder.CallOutcome.TIMED_OUT);
            default -> {
                // Rejected, cancelled or never sent: no evidence of the server's health.
            }
        }
    }

    private String kind(Server server) {
        return server.kind() >= 0 && server.kind() < kindNames.size()
                ? kindNames.get(server.kind())
                : "";
    }

    /** The number of stored entries, by kind of state. */
    Map<String, Object> entryCounts() {
        return Map.of("sightings", sharing.observations().size(), "servers", sharing.servers());
    }

    /** The shared state for operators, as one line of JSON. */
    String status() {
        Map<String, Object> status = sharing.status(host.now());
        RolloutStage stage = rollout.currentStage(host.now());
        if (stage != null) {
            Map<String, Object> release = new LinkedHashMap<>();
            release.put("name", stage.rolloutName());
            release.put("phase", stage.phase().name().toLowerCase(Locale.ROOT));
            release.put("part", rollout.canaryFraction(host.now()));
            release.put("servers", rollout.canaryServers(host.now()));
            release.put("age_ms", (long) rollout.stageAgeMs(host.now()));
            release.put("bound_ms", (long) RolloutParticipant.STAGE_VALIDITY_MS);
            release.put("why", stage.reason());
            release.put("refused", rollout.staleStageCount());
            status.put("release", release);
        }
        status.put(
                "unreadable",
                payloads.malformed()
                        + observations.malformed()
                        + loans.malformed()
                        + rolloutStages.malformed());
        return StatusJson.of(status);
    }
}
